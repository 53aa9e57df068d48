import { pino } from "pino";
import { EVENT_CATALOGUE, type EventCode } from "./catalogue.ts";

/** Structured fields of one log line. */
export type EventFields = Record<string, unknown>;

/**
 * Maximum size of the buffer of an asynchronous log, in bytes. If the reader of
 * the log is slow, lines beyond it are dropped.
 */
const MAX_BUFFERED_BYTES = 1024 * 1024;

/** File descriptor to which a process writes its log. */
export enum LogTarget {
  Stdout = 1,
  Stderr = 2,
}

/** Destination of numbered events. */
export abstract class EventLog {
  /** Records one event with its fields. */
  abstract record(code: EventCode, fields?: EventFields): void;
}

/** Writes events as lines of JSON. */
export class PinoEventLog extends EventLog {
  readonly #logger: pino.Logger;
  readonly #destination: ReturnType<typeof pino.destination>;

  /**
   * @param base fields that are added to every line
   * @param options with `isAsync`, a slow reader of the log never blocks the
   *   process
   */
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
    const { severity, message } = EVENT_CATALOGUE[code];
    this.#logger[severity]({ event: code, ...fields }, message);
  }

  /** Writes all buffered lines synchronously; for use at process exit. */
  writeBuffered(): void {
    this.#destination.flushSync();
  }
}

/** Discards all events; for tests and tools. */
export class SilentEventLog extends EventLog {
  override record(): void {}
}
