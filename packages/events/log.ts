import { pino } from "pino";
import { CATALOGUE, type EventCode } from "./catalogue.ts";

/** Structured fields of one log line. */
export type EventFields = Record<string, unknown>;

/** Bytes of lines that wait for a slow reader; beyond them lines are lost. */
const MAX_BUFFERED_BYTES = 1024 * 1024;

/** Where a process writes its log. */
export enum LogTarget {
  Stdout = 1,
  Stderr = 2,
}

/** Sink for numbered events. */
export abstract class EventLog {
  /** Records one event with its fields. */
  abstract record(code: EventCode, fields?: EventFields): void;
}

/** Writes events as JSON lines. */
export class PinoEventLog extends EventLog {
  readonly #logger: pino.Logger;
  readonly #destination: ReturnType<typeof pino.destination>;

  /** `isAsync`: a slow reader of the log never blocks the process. */
  constructor(
    level: string,
    base: EventFields,
    options: { target: LogTarget; isAsync: boolean } = {
      target: LogTarget.Stderr,
      isAsync: false,
    },
  ) {
    super();
    this.#destination = pino.destination({
      dest: options.target,
      sync: !options.isAsync,
      ...options.isAsync ? { maxLength: MAX_BUFFERED_BYTES } : {},
    });
    this.#logger = pino({ level, base }, this.#destination);
  }

  override record(code: EventCode, fields: EventFields = {}): void {
    const { severity, message } = CATALOGUE[code];
    this.#logger[severity]({ event: code, ...fields }, message);
  }

  /** Writes what is buffered; for the end of the process. */
  writeBuffered(): void {
    this.#destination.flushSync();
  }
}

/** Drops all events; for tests and tools. */
export class SilentEventLog extends EventLog {
  override record(): void {}
}
