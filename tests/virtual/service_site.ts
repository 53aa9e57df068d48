import { SeededRandom } from "../../packages/base/mod.ts";
import { SilentEventLog } from "../../packages/events/mod.ts";
import type { LinkHandlers } from "../../packages/links/mod.ts";
import { Metrics } from "../../packages/metrics/mod.ts";
import {
  type CallerAnswer,
  CallerService,
  ConfigFeed,
  OwnerGateway,
  type OwnerRecord,
  type SiteConfig,
} from "../../packages/scheduler/mod.ts";
import { MemoryStore, MemoryStoreState } from "./memory_store.ts";
import { NoUpkeepRecords } from "./no_upkeep_records.ts";
import { ProcessClock, VirtualTime } from "./virtual_time.ts";

/** The first owner of a service site. */
export const OWNER: OwnerRecord = {
  entry: "a",
  incarnation: "a/1",
  host: "a",
  port: 1,
  term: 1,
  lease: 1,
};

/** Records of a site with one queue. */
class OneQueueRecords extends NoUpkeepRecords {
  override readonly configKey = "config";
  override readonly endpointPrefix = "endpoints/";
  readonly #isOpen: boolean;

  constructor(isOpen: boolean) {
    super();
    this.#isOpen = isOpen;
  }

  override decodeConfig(): SiteConfig {
    const queue = { name: "filings", service: "desk", priority: 0 };
    const rules = { attempts: 1, stretch: 1, targetLatencyMs: 1_000 };
    const route = { host: "desk", prefix: "/f/", isOpen: this.#isOpen };
    return {
      version: 1,
      queues: [{ ...queue, ...rules, ...route }],
      organisations: [],
      maxBodyBytes: 1_000,
    };
  }

  override decodeEndpoint(): undefined {
    return undefined;
  }
}

/** A caller service, its store, and the handlers of the owner that it calls. */
export interface ServiceSite {
  service: CallerService;
  gateway: OwnerGateway;
  time: VirtualTime;
  store: MemoryStore;
  /** Handlers of the current owner; a missing one fails after receipt. */
  handlers: Partial<LinkHandlers>;
}

/** Starts a caller service, by default on a time of its own. */
export async function startService(
  time = new VirtualTime(),
  { refusesLate = false, isOpen = true } = {},
): Promise<ServiceSite> {
  const clock = new ProcessClock(time, "caller service");
  const log = new SilentEventLog();
  const state = new MemoryStoreState();
  state.revision++;
  state.put("config", "{}", 0);
  const store = new MemoryStore(state, clock);
  const config = new ConfigFeed({
    store,
    records: new OneQueueRecords(isOpen),
    clock,
    wallNow: () => time.now,
    log,
  });
  void config.run();
  await time.advance(1_000);
  const handlers: Partial<LinkHandlers> = {};
  const failCall = () => {
    throw new Error("the entry that was asked does not own the cell");
  };
  const gateway = new OwnerGateway({
    clock,
    log,
    opener: {
      makeHeartbeat: () => ({ entry: "a", cores: 1 }),
      onReply: () => {},
    },
    localAddress: "",
    isLocalOwnerReady: () => true,
    handlers: new Proxy(handlers, {
      get: (target, name) => Reflect.get(target, name) ?? failCall,
    }) as LinkHandlers,
  });
  gateway.setOwner(OWNER, true);
  const service = new CallerService({
    config,
    gateway,
    clock,
    log,
    random: new SeededRandom(1),
    metrics: new Metrics(),
    getKeyRevocationMs: () => 5_000,
    refusesLateSubmissions: () => refusesLate,
  });
  return { service, gateway, time, store, handlers };
}

/** A request for the job with id 1. */
export const REQUEST = {
  host: "desk",
  path: "/f/1",
  key: "",
  deadlineMs: 3_000,
};

/** The owner after `OWNER`. */
export const NEXT_OWNER: OwnerRecord = {
  ...OWNER,
  incarnation: "b/1",
  term: 2,
};

/** Returns a job without steps. */
export const parseEmptyJob = () => ({
  id: "1",
  payload: "",
  steps: [],
  occurrences: 0,
  firstRunAt: 0,
  intervalMs: 0,
});

/** Advances the time until the answer is there, at most to the deadline. */
export async function settle(
  time: VirtualTime,
  pending: Promise<CallerAnswer>,
): Promise<{ answer: CallerAnswer; elapsedMs: number }> {
  const startedAt = time.now;
  let answer: CallerAnswer | undefined;
  void pending.then((settled) => answer = settled);
  while (!answer && time.now - startedAt < REQUEST.deadlineMs) {
    await time.advance(10);
  }
  if (!answer) throw new Error("No answer at the caller's deadline");
  return { answer, elapsedMs: time.now - startedAt };
}
