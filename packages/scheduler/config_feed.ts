import { type Clock, HistoryGoneError } from "../base/mod.ts";
import type { CurrentTime } from "../cell/mod.ts";
import { EventCode, type EventLog } from "../events/mod.ts";
import type { KeyValueStore } from "../storage/mod.ts";
import {
  CONFIG_READ_INTERVAL_MS,
  CONFIG_WATCH_MARGIN_MS,
  MIN_READ_PAUSE_MS,
} from "./constants.ts";
import type { SiteRecords } from "./ports.ts";
import { measureElapsed } from "./suspension_guard.ts";
import type { OrganisationConfig, QueueRoute, SiteConfig } from "./types.ts";

/**
 * Watches the configuration in the store; never returns to an older version.
 * Load: a configuration of a thousand queues, which hundreds of entries on slow
 * links would otherwise read in full every second.
 */
export class ConfigFeed {
  readonly #store: KeyValueStore;
  readonly #records: SiteRecords;
  readonly #clock: Clock;
  readonly #wallNow: () => number;
  readonly #log: EventLog;
  readonly #organisationsByKey = new Map<string, OrganisationConfig>();
  #configRevision = 0;
  #confirmedAt: CurrentTime = {
    now: Number.NEGATIVE_INFINITY,
    wallNow: Number.NEGATIVE_INFINITY,
  };
  #isStoreReachable = true;
  #isStopped = false;
  /** The newest configuration; `undefined` until the first is read. */
  config: SiteConfig | undefined;
  /** Called with each new version of the configuration. */
  onChanged: (config: SiteConfig) => void = () => {};

  constructor(options: {
    store: KeyValueStore;
    records: SiteRecords;
    clock: Clock;
    /** Returns the wall-clock time, in Unix milliseconds. */
    wallNow: () => number;
    log: EventLog;
  }) {
    this.#store = options.store;
    this.#records = options.records;
    this.#clock = options.clock;
    this.#wallNow = options.wallNow;
    this.#log = options.log;
  }

  /** Reads the configuration, then watches it, until stopped. */
  async run(): Promise<void> {
    let revision: number | undefined;
    while (!this.#isStopped) {
      const sentAt = { now: this.#clock.now(), wallNow: this.#wallNow() };
      if (revision !== undefined) {
        revision = await this.#watchOnce(revision, sentAt);
        continue;
      }
      revision = await this.#readOnce(sentAt);
      if (revision !== undefined) continue;
      const elapsedMs = this.#clock.now() - sentAt.now;
      await this.#clock.sleep(
        Math.max(CONFIG_READ_INTERVAL_MS - elapsedMs, MIN_READ_PAUSE_MS),
      );
    }
  }

  /** Returns whether the last read of the configuration succeeded. */
  get isStoreReachable(): boolean {
    return this.#isStoreReachable;
  }

  /** Stops reading. */
  stop(): void {
    this.#isStopped = true;
  }

  /**
   * Measures the time since the start of the last successful read of the
   * configuration, in milliseconds; suspensions of the VM count too.
   */
  measureAge(now: number): number {
    const time = { now, wallNow: this.#wallNow() };
    return measureElapsed(this.#confirmedAt, time);
  }

  /**
   * Finds the queue of a request by name, or else by host and by the longest
   * prefix of the path.
   */
  findQueue(
    { queue: name, host, path }: { queue?: string; host: string; path: string },
  ): QueueRoute | undefined {
    if (name !== undefined) {
      return this.config?.queues.find((queue) => queue.name === name);
    }
    let bestMatch: QueueRoute | undefined;
    for (const queue of this.config?.queues ?? []) {
      if (queue.host !== host || !path.startsWith(queue.prefix)) continue;
      if (!bestMatch || queue.prefix.length > bestMatch.prefix.length) {
        bestMatch = queue;
      }
    }
    return bestMatch;
  }

  /** Finds the organisation that a key belongs to. */
  findOrganisation(key: string): OrganisationConfig | undefined {
    return this.#organisationsByKey.get(key);
  }

  /**
   * Reads the configuration. Returns the revision from which to watch it, or
   * `undefined` if it has to be read again.
   */
  async #readOnce(sentAt: CurrentTime): Promise<number | undefined> {
    const key = this.#records.configKey;
    try {
      const page = await this.#store.list(key);
      this.#noteConfirmed(sentAt);
      const item = page.items.find((candidate) => candidate.key === key);
      if (item) this.#adoptItem(item);
      // The watch continues from the revision of the read: the history back to
      // the last change of the configuration may be gone.
      return item && page.revision;
    } catch (error) {
      this.#noteFailure(error);
      return undefined;
    }
  }

  /**
   * Watches the configuration once. Returns the revision from which to continue,
   * or `undefined` if the configuration has to be read again.
   */
  async #watchOnce(
    after: number,
    sentAt: CurrentTime,
  ): Promise<number | undefined> {
    const key = this.#records.configKey;
    try {
      const { changes, revision } = await this.#store.watch(key, {
        after,
        waitMs: CONFIG_READ_INTERVAL_MS,
        timeoutMs: CONFIG_READ_INTERVAL_MS + CONFIG_WATCH_MARGIN_MS,
      });
      this.#noteConfirmed(this.#computeWatchedUntil(sentAt, changes.length));
      for (const change of changes) {
        const { value } = change;
        if (change.key === key && value !== undefined) {
          this.#adoptItem({ ...change, value });
        }
      }
      // After a suspension of the VM the watch confirms an old state.
      const isRecent = this.measureAge(this.#clock.now()) <
        CONFIG_READ_INTERVAL_MS * 2;
      return isRecent ? revision : undefined;
    } catch (error) {
      if (!(error instanceof HistoryGoneError)) this.#noteFailure(error);
      await this.#clock.sleep(MIN_READ_PAUSE_MS);
      return undefined;
    }
  }

  /**
   * Computes until when a watch confirms the configuration. A watch without
   * changes that took the whole wait was answered at its end.
   */
  #computeWatchedUntil(sentAt: CurrentTime, changeCount: number): CurrentTime {
    const elapsedMs = this.#clock.now() - sentAt.now;
    if (changeCount > 0 || elapsedMs < CONFIG_READ_INTERVAL_MS) return sentAt;
    return {
      now: sentAt.now + CONFIG_READ_INTERVAL_MS,
      wallNow: sentAt.wallNow + CONFIG_READ_INTERVAL_MS,
    };
  }

  #noteConfirmed(confirmedAt: CurrentTime): void {
    this.#confirmedAt = confirmedAt;
    if (this.#isStoreReachable) return;
    this.#isStoreReachable = true;
    this.#log.record(EventCode.StoreRecovered, { reader: "config" });
  }

  #noteFailure(error: unknown): void {
    if (!this.#isStoreReachable) return;
    this.#isStoreReachable = false;
    this.#log.record(EventCode.StoreUnavailable, {
      reader: "config",
      reason: String(error),
      ageMs: Math.round(this.#clock.now() - this.#confirmedAt.now),
    });
  }

  #adoptItem({ revision, value }: { revision: number; value: string }): void {
    if (revision <= this.#configRevision) return;
    this.#configRevision = revision;
    this.#adoptConfig(value);
  }

  #adoptConfig(text: string): void {
    let config: SiteConfig;
    try {
      config = this.#records.decodeConfig(text);
    } catch (error) {
      this.#log.record(EventCode.ConfigRejected, { reason: String(error) });
      return;
    }
    if (this.config && config.version <= this.config.version) return;
    this.config = config;
    this.#organisationsByKey.clear();
    for (const organisation of config.organisations) {
      for (const key of organisation.keys) {
        this.#organisationsByKey.set(key, organisation);
      }
    }
    this.#log.record(EventCode.ConfigAccepted, {
      version: config.version,
      revision: this.#configRevision,
      queues: config.queues.length,
    });
    this.onChanged(config);
  }
}
