/** Severity of an event. */
export enum Severity {
  Debug = "debug",
  Info = "info",
  Warn = "warn",
  Error = "error",
}

/** Catalogue entry of one event. */
export interface EventEntry {
  severity: Severity;
  message: string;
  remedy: string;
}
