import type { Clock } from "../base/mod.ts";
import type { Present } from "../cell/mod.ts";
import { EventCode, type EventLog } from "../events/mod.ts";
import type { KeyValueStore } from "../storage/mod.ts";
import { CONFIG_READ_MS } from "./constants.ts";
import type { SiteRecords } from "./ports.ts";
import type { OrganisationConfig, QueueRoute, SiteConfig } from "./types.ts";

/** Keeps the newest configuration; versions never go back in one process. */
export class ConfigFeed {
  readonly #store: KeyValueStore;
  readonly #records: SiteRecords;
  readonly #clock: Clock;
  readonly #wallNow: () => number;
  readonly #log: EventLog;
  readonly #organisationsByKey = new Map<string, OrganisationConfig>();
  #revision = 0;
  #freshAt = Number.NEGATIVE_INFINITY;
  #freshWallAt = Number.NEGATIVE_INFINITY;
  #isReachable = true;
  #isStopped = false;
  /** The newest configuration, once there is one. */
  config: SiteConfig | undefined;
  /** Called with each new version. */
  onChanged: (config: SiteConfig) => void = () => {};

  constructor(options: {
    store: KeyValueStore;
    records: SiteRecords;
    clock: Clock;
    /** Time of day, Unix milliseconds. */
    wallNow: () => number;
    log: EventLog;
  }) {
    this.#store = options.store;
    this.#records = options.records;
    this.#clock = options.clock;
    this.#wallNow = options.wallNow;
    this.#log = options.log;
  }

  /** Reads the configuration until stopped. */
  async run(): Promise<void> {
    while (!this.#isStopped) {
      const askedAt = this.#clock.now();
      await this.#readOnce({ now: askedAt, wallNow: this.#wallNow() });
      const elapsed = this.#clock.now() - askedAt;
      await this.#clock.sleep(Math.max(CONFIG_READ_MS - elapsed, 50));
    }
  }

  /** Reads no more. */
  stop(): void {
    this.#isStopped = true;
  }

  /**
   * Tells how old the newest proof is that the configuration is the newest. The
   * steady clock stands still while the VM is suspended, the time of day can be
   * set back: the longer of both counts.
   */
  measureAge(now: number): number {
    return Math.max(now - this.#freshAt, this.#wallNow() - this.#freshWallAt);
  }

  /** Finds the queue of a request: the longest prefix of its path wins. */
  findQueue(
    { queue: name, host, path }: { queue?: string; host: string; path: string },
  ): QueueRoute | undefined {
    if (name !== undefined) {
      return this.config?.queues.find((queue) => queue.name === name);
    }
    let best: QueueRoute | undefined;
    for (const queue of this.config?.queues ?? []) {
      if (queue.host !== host || !path.startsWith(queue.prefix)) continue;
      if (!best || queue.prefix.length > best.prefix.length) best = queue;
    }
    return best;
  }

  /** Finds the organisation of a key. */
  findOrganisation(key: string): OrganisationConfig | undefined {
    return this.#organisationsByKey.get(key);
  }

  async #readOnce(asked: Present): Promise<void> {
    try {
      const item = await this.#store.get(this.#records.configKey);
      this.#freshAt = asked.now;
      this.#freshWallAt = asked.wallNow;
      if (!this.#isReachable) {
        this.#isReachable = true;
        this.#log.record(EventCode.StoreRecovered, { reader: "config" });
      }
      if (item && item.revision > this.#revision) {
        this.#revision = item.revision;
        this.#adopt(item.value);
      }
    } catch (error) {
      if (!this.#isReachable) return;
      this.#isReachable = false;
      this.#log.record(EventCode.StoreUnavailable, {
        reader: "config",
        reason: String(error),
        ageMs: Math.round(this.#clock.now() - this.#freshAt),
      });
    }
  }

  #adopt(text: string): void {
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
      revision: this.#revision,
      queues: config.queues.length,
    });
    this.onChanged(config);
  }
}
