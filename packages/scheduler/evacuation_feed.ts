import { type Clock, HistoryGoneError } from "../base/mod.ts";
import type { CurrentTime } from "../cell/mod.ts";
import {
  type EvacuationRequest,
  EvacuationSource,
  isDomainName,
} from "../evacuation/mod.ts";
import { EventCode, type EventLog } from "../events/mod.ts";
import { type KeyValueStore, listAll } from "../storage/mod.ts";
import {
  ENDPOINT_WATCH_MARGIN_MS,
  EVACUATION_PREFIX,
  EVACUATION_WATCH_FRACTION,
  EVACUATION_WATCH_INTERVAL_MS,
  EVACUATION_WATCH_WAIT_MS,
  STORE_RETRY_MS,
} from "./constants.ts";
import { RequestRecords } from "./request_records.ts";
import type { SiteRecords } from "./ports.ts";
import { measureElapsed } from "./suspension_guard.ts";

/** The dependencies and settings of an `EvacuationFeed`. */
export interface EvacuationFeedParts {
  store: KeyValueStore;
  records: SiteRecords;
  clock: Clock;
  log: EventLog;
  /** Age from which the requests are too old to start tasks, in milliseconds. */
  maxAgeMs: number;
  /**
   * Called with all requests after each change, for the first time once those of
   * every source have been listed.
   */
  onChanged: (requests: EvacuationRequest[]) => void;
}

/** The requests of one source, as read last. */
interface SourceState {
  source: EvacuationSource;
  prefix: string;
  records: RequestRecords;
  /** When the last answer of the store was asked for; undefined: none yet. */
  heardAt: CurrentTime | undefined;
  hasFailed: boolean;
}

/**
 * Watches the requests for evacuations in the store: those of the platform and those
 * that were made at an entry. The requests that were read last stay in force while
 * the store does not answer.
 */
export class EvacuationFeed {
  readonly #parts: EvacuationFeedParts;
  readonly #sources: SourceState[];
  #isStopped = false;

  constructor(parts: EvacuationFeedParts) {
    this.#parts = parts;
    const prefixes: [EvacuationSource, string][] = [
      [EvacuationSource.Platform, parts.records.evacuationPrefix],
      [EvacuationSource.Operations, EVACUATION_PREFIX],
    ];
    this.#sources = prefixes.map(([source, prefix]) => ({
      source,
      prefix,
      records: new RequestRecords(),
      heardAt: undefined,
      hasFailed: false,
    }));
  }

  /** Lists the requests of each source, then watches them, until stopped. */
  async run(): Promise<void> {
    await Promise.all(this.#sources.map((state) => this.#runSource(state)));
  }

  /** Stops watching. */
  stop(): void {
    this.#isStopped = true;
  }

  /**
   * Returns whether the requests are recent enough to start tasks: a request that was
   * made before that is known. False until all sources have been listed.
   */
  checkAge(time: CurrentTime): boolean {
    return this.measureAge(time) <= this.#parts.maxAgeMs;
  }

  /** Measures the age of the oldest confirmation, in ms; infinite: none yet. */
  measureAge(time: CurrentTime): number {
    return Math.max(
      ...this.#sources.map(({ heardAt }) =>
        heardAt ? measureElapsed(heardAt, time) : Number.POSITIVE_INFINITY
      ),
    );
  }

  async #runSource(state: SourceState): Promise<void> {
    const { clock } = this.#parts;
    while (!this.#isStopped) {
      try {
        let revision = await this.#list(state);
        while (!this.#isStopped) {
          revision = await this.#watch(state, revision);
          await clock.sleep(EVACUATION_WATCH_INTERVAL_MS);
        }
      } catch (error) {
        // The history was compacted: only a list tells what changed.
        if (!(error instanceof HistoryGoneError)) {
          this.#noteFailure(state, error);
        }
        await clock.sleep(STORE_RETRY_MS);
      }
    }
  }

  async #list(state: SourceState): Promise<number> {
    const { store } = this.#parts;
    const sentAt = this.#getCurrentTime();
    const { items, revision } = await listAll(store, state.prefix);
    state.records.adoptList(items);
    this.#noteAnswer(state, sentAt);
    this.#callOnChanged();
    return revision;
  }

  async #watch(state: SourceState, after: number): Promise<number> {
    const { store, maxAgeMs } = this.#parts;
    const sentAt = this.#getCurrentTime();
    const waitMs = Math.floor(Math.min(
      EVACUATION_WATCH_WAIT_MS,
      maxAgeMs * EVACUATION_WATCH_FRACTION,
    ));
    const { changes, revision } = await store.watch(state.prefix, {
      after,
      waitMs,
      timeoutMs: waitMs + ENDPOINT_WATCH_MARGIN_MS,
    });
    for (const change of changes) state.records.applyChange(change);
    this.#noteAnswer(state, sentAt);
    if (changes.length > 0) this.#callOnChanged();
    return revision;
  }

  #noteAnswer(state: SourceState, sentAt: CurrentTime): void {
    if (this.#isStopped) return;
    state.heardAt = sentAt;
    if (!state.hasFailed) return;
    state.hasFailed = false;
    this.#parts.log.record(EventCode.StoreRecovered, {
      reader: "evacuations",
      source: state.source,
    });
  }

  #noteFailure(state: SourceState, error: unknown): void {
    if (state.hasFailed || this.#isStopped) return;
    state.hasFailed = true;
    this.#parts.log.record(EventCode.StoreUnavailable, {
      reader: "evacuations",
      source: state.source,
      reason: String(error),
    });
  }

  #callOnChanged(): void {
    if (this.#isStopped) return;
    if (this.#sources.some(({ heardAt }) => !heardAt)) return;
    this.#parts.onChanged(
      this.#sources.flatMap((state) => this.#decodeRequests(state)),
    );
  }

  #decodeRequests({ source, prefix, records }: SourceState) {
    const requests: EvacuationRequest[] = [];
    for (const { key, revision, isNew } of records.listAll()) {
      const domain = key.slice(prefix.length);
      if (isDomainName(domain)) requests.push({ domain, source, revision });
      else if (isNew) {
        this.#parts.log.record(EventCode.EvacuationRejected, {
          subject: key,
          source,
          revision,
        });
      }
    }
    return requests;
  }

  #getCurrentTime(): CurrentTime {
    const { clock } = this.#parts;
    return { now: clock.now(), wallNow: clock.readWallTime() };
  }
}
