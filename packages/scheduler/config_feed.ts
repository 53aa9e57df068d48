import type { Clock } from "../base/mod.ts";
import type { CurrentTime } from "../cell/mod.ts";
import { EventCode, type EventLog } from "../events/mod.ts";
import type { KeyValueStore } from "../storage/mod.ts";
import { CONFIG_READ_INTERVAL_MS } from "./constants.ts";
import type { SiteRecords } from "./ports.ts";
import type { OrganisationConfig, QueueRoute, SiteConfig } from "./types.ts";

/** Polls the store for the configuration; never returns to an older version. */
export class ConfigFeed {
  readonly #store: KeyValueStore;
  readonly #records: SiteRecords;
  readonly #clock: Clock;
  readonly #wallNow: () => number;
  readonly #log: EventLog;
  readonly #organisationsByKey = new Map<string, OrganisationConfig>();
  #configRevision = 0;
  #confirmedAt = Number.NEGATIVE_INFINITY;
  #confirmedWallAt = Number.NEGATIVE_INFINITY;
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

  /** Reads the configuration periodically until stopped. */
  async run(): Promise<void> {
    while (!this.#isStopped) {
      const sentAt = this.#clock.now();
      await this.#readOnce({ now: sentAt, wallNow: this.#wallNow() });
      const elapsedMs = this.#clock.now() - sentAt;
      await this.#clock.sleep(
        Math.max(CONFIG_READ_INTERVAL_MS - elapsedMs, 50),
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
   * configuration, in milliseconds. The steady clock stops while the VM is
   * suspended, and the wall clock can be set back, so the longer of the times
   * on both clocks is returned.
   */
  measureAge(now: number): number {
    return Math.max(
      now - this.#confirmedAt,
      this.#wallNow() - this.#confirmedWallAt,
    );
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

  async #readOnce(sentAt: CurrentTime): Promise<void> {
    try {
      const item = await this.#store.get(this.#records.configKey);
      this.#confirmedAt = sentAt.now;
      this.#confirmedWallAt = sentAt.wallNow;
      if (!this.#isStoreReachable) {
        this.#isStoreReachable = true;
        this.#log.record(EventCode.StoreRecovered, { reader: "config" });
      }
      if (item && item.revision > this.#configRevision) {
        this.#configRevision = item.revision;
        this.#adoptConfig(item.value);
      }
    } catch (error) {
      if (!this.#isStoreReachable) return;
      this.#isStoreReachable = false;
      this.#log.record(EventCode.StoreUnavailable, {
        reader: "config",
        reason: String(error),
        ageMs: Math.round(this.#clock.now() - this.#confirmedAt),
      });
    }
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
