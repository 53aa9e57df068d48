/** Severity of an event, which is also the level of its log lines. */
export enum Severity {
  Debug = "debug",
  Info = "info",
  Warn = "warn",
  Error = "error",
}

/** Severity of an event, its log message, and what an operator should do. */
export interface CatalogueEntry {
  severity: Severity;
  message: string;
  remedy: string;
}
