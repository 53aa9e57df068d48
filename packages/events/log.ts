import { pino } from "pino";
import { EVENT_CATALOGUE, EventCode } from "./catalogue.ts";

/** Structured fields of one log line. */
export type EventFields = Record<string, unknown>;

/**
 * Maximum size of the buffer of an asynchronous log, in bytes. If the reader of
 * the log is slow, lines beyond it are dropped.
 */
const MAX_BUFFERED_BYTES = 1024 * 1024;

/**
 * Maximum size of one write of an asynchronous log, in bytes: up to `PIPE_BUF` of Linux, a
 * write to a pipe is done as a whole. Longer ones are cut off where the reader takes parts.
 */
const MAX_WRITE_BYTES = 4_096;

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
  /** Lines that did not fit into the buffer since the last report of them. */
  #droppedCount = 0;

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
      ...options.isAsync
        ? { maxLength: MAX_BUFFERED_BYTES, maxWrite: MAX_WRITE_BYTES }
        : {},
    });
    this.#destination.on("drop", () => this.#droppedCount++);
    this.#logger = pino({ level, base }, this.#destination);
  }

  override record(code: EventCode, fields: EventFields = {}): void {
    this.#recordDropped();
    const { severity, message } = EVENT_CATALOGUE[code];
    this.#logger[severity]({ event: code, ...fields }, message);
  }

  /** Reports lines that were dropped; if the report does not fit, it is repeated. */
  #recordDropped(): void {
    const unwritten = this.#droppedCount;
    if (unwritten === 0) return;
    const { message, severity } = EVENT_CATALOGUE[EventCode.LinesDropped];
    this.#logger[severity](
      { event: EventCode.LinesDropped, unwritten },
      message,
    );
    if (this.#droppedCount === unwritten) this.#droppedCount = 0;
    else this.#droppedCount = unwritten;
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
