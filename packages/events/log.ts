import { pino } from "pino";
import { CATALOGUE, type EventCode } from "./catalogue.ts";

/** Structured fields of one log line. */
export type EventFields = Record<string, unknown>;

/** Sink for numbered events. */
export abstract class EventLog {
  /** Records one event with its fields. */
  abstract record(code: EventCode, fields?: EventFields): void;
}

/** Writes events as JSON lines to standard error. */
export class PinoEventLog extends EventLog {
  readonly #logger: pino.Logger;

  constructor(level: string, base: EventFields) {
    super();
    this.#logger = pino({ level, base }, pino.destination(2));
  }

  override record(code: EventCode, fields: EventFields = {}): void {
    const { severity, message } = CATALOGUE[code];
    this.#logger[severity]({ event: code, ...fields }, message);
  }
}

/** Drops all events; for tests and tools. */
export class SilentEventLog extends EventLog {
  override record(): void {}
}
