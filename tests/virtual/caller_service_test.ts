import test from "ava";
import { SeededRandom } from "../../packages/base/mod.ts";
import { SilentEventLog } from "../../packages/events/mod.ts";
import type { LinkHandlers } from "../../packages/links/mod.ts";
import { Metrics } from "../../packages/metrics/mod.ts";
import {
  AnswerKind,
  CallerService,
  ConfigFeed,
  OwnerGateway,
  type OwnerRecord,
  type SiteConfig,
} from "../../packages/scheduler/mod.ts";
import { MemoryStore, MemoryStoreState } from "./memory_store.ts";
import { NoUpkeepRecords } from "./no_upkeep_records.ts";
import { ProcessClock, VirtualTime } from "./virtual_time.ts";

const OWNER: OwnerRecord = {
  entry: "a",
  incarnation: "a/1",
  host: "a",
  port: 1,
  term: 1,
  lease: 1,
};

/** Records of a site with one queue that needs no key. */
class OpenQueueRecords extends NoUpkeepRecords {
  override readonly configKey = "config";
  override readonly endpointPrefix = "endpoints/";

  override decodeConfig(): SiteConfig {
    const queue = { name: "filings", service: "desk", priority: 0 };
    const rules = { attempts: 1, stretch: 1, targetLatencyMs: 1_000 };
    const route = { host: "desk", prefix: "/f/", isOpen: true };
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

/** Starts a caller service whose owner fails every call after receiving it. */
async function startService(): Promise<CallerService> {
  const time = new VirtualTime();
  const clock = new ProcessClock(time, "a");
  const log = new SilentEventLog();
  const state = new MemoryStoreState();
  state.revision++;
  state.put("config", "{}", 0);
  const config = new ConfigFeed({
    store: new MemoryStore(state, clock),
    records: new OpenQueueRecords(),
    clock,
    wallNow: () => time.now,
    log,
  });
  void config.run();
  await time.advance(1_000);
  const failCall = () => {
    throw new Error("the entry that was asked does not own the cell");
  };
  const handlers = {
    "job.submit": failCall,
    "job.find": failCall,
    "job.cancel": failCall,
    "queue.count": failCall,
  } as unknown as LinkHandlers;
  const gateway = new OwnerGateway({
    clock,
    log,
    entry: "a",
    localAddress: "",
    handlers,
  });
  gateway.setOwner(OWNER, true);
  return new CallerService({
    config,
    gateway,
    clock,
    log,
    random: new SeededRandom(1),
    metrics: new Metrics(),
    getKeyRevocationMs: () => 5_000,
  });
}

const REQUEST = { host: "desk", path: "/f/1", key: "", deadlineMs: 1_000 };

test("a query without an answer is unavailable and has a retry delay", async (t) => {
  const service = await startService();
  for (
    const answer of [
      await service.find(REQUEST, "1"),
      await service.count(REQUEST),
    ]
  ) {
    t.is(answer.kind, AnswerKind.Unavailable);
    t.true(answer.retryAfterMs! > 0);
  }
});

test("a submission or cancellation without an answer has an unknown effect", async (t) => {
  const service = await startService();
  const parse = () => ({
    id: "1",
    payload: "",
    steps: [],
    occurrences: 0,
    firstRunAt: 0,
    intervalMs: 0,
  });
  const answers = [
    await service.submit(REQUEST, parse),
    await service.cancel(REQUEST, "1"),
  ];
  t.deepEqual(answers.map(({ kind }) => kind), [
    AnswerKind.Unknown,
    AnswerKind.Unknown,
  ]);
});
