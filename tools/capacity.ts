/**
 * Measures how memory use, processing time and message sizes of one process
 * grow with the size of the fleet, and prints a table.
 *
 * Usage: node --expose-gc dist/tools/capacity.js [--json]
 */
import process from "node:process";
import { parseArgs } from "node:util";
import { build } from "hdr-histogram-js";
import { BodyEncoding, SeededRandom, WorkKind } from "../packages/base/mod.ts";
import { formatTable } from "../packages/cli/mod.ts";
import {
  adoptUpdate,
  type ConfigItems,
  createConfigState,
  stageItems,
} from "../packages/config/mod.ts";
import { TaskResultKind } from "../packages/endpoints/mod.ts";
import {
  type Attempt,
  DecisionType,
  type EndpointSpec,
  Engine,
  EngineEventType,
  SampledPlacement,
} from "../packages/engine/mod.ts";
import {
  createDomainBucket,
  createFleetBucket,
  findBucket,
  planLimits,
} from "../packages/limits/mod.ts";
import {
  createDomainRecord,
  findShard,
  planMembership,
} from "../packages/membership/mod.ts";

interface CapacityRow {
  /** Part of an entry's work that is measured. */
  role: string;
  measure: string;
  /** Number of endpoints, teams or entries, depending on the role. */
  size: number;
  value: number;
  unit: string;
}

const NOW_MS = 1_000_000;
const SLOTS_PER_ENDPOINT = 8;
const rows: CapacityRow[] = [];

const { values } = parseArgs({ options: { json: { type: "boolean" } } });
for (const size of [300, 1_333, 6_000, 24_000]) measureOwner(size);
for (const size of [100, 370, 1_000]) measureConfiguration(size);
for (const size of [3, 6, 12]) measureLimits(size);
for (const size of [300, 1_333, 6_000]) measureMembership(size);
printRows();

function measureOwner(endpoints: number): void {
  const heapBefore = measureHeapBytes();
  const engine = makeEngine(endpoints);
  const addRow = makeRowAdder("owning", endpoints);
  addRow(
    "heap for one endpoint",
    (measureHeapBytes() - heapBefore) / endpoints,
    "byte",
  );
  const startDurations = build();
  const runningTasks: { id: string; endpoint: string }[] = [];
  const runningTarget = Math.floor(endpoints * SLOTS_PER_ENDPOINT * 0.8);
  let attemptCount = 0;
  const startTask = () => {
    const attempt = makeAttempt(attemptCount++);
    const startedAtNs = process.hrtime.bigint();
    const decisions = engine.handle(
      { type: EngineEventType.Submit, attempt },
      NOW_MS,
    );
    startDurations.recordValue(Number(process.hrtime.bigint() - startedAtNs));
    for (const decision of decisions) {
      if (decision.type !== DecisionType.Start) continue;
      runningTasks.push({ id: attempt.id, endpoint: decision.endpoint.id });
    }
  };
  for (let number = 0; number < runningTarget; number++) startTask();
  addRow(
    "heap for one running task",
    (measureHeapBytes() - heapBefore) / runningTarget,
    "byte",
  );
  startDurations.reset();
  const endDurations = build();
  const random = new SeededRandom(3);
  for (let number = 0; number < 20_000; number++) {
    const [task] = runningTasks.splice(random.drawInt(runningTasks.length), 1);
    const startedAtNs = process.hrtime.bigint();
    endTask(engine, task);
    endDurations.recordValue(Number(process.hrtime.bigint() - startedAtNs));
    startTask();
  }
  addRow(
    "start, median",
    startDurations.getValueAtPercentile(50) / 1_000,
    "us",
  );
  addRow("start, p99", startDurations.getValueAtPercentile(99) / 1_000, "us");
  addRow("end, p99", endDurations.getValueAtPercentile(99) / 1_000, "us");
  addRow("tick", measureMedianMs(20, () => tick(engine)) * 1_000, "us");
  addRow("listing", measureListingUs(engine), "us");
  // Fills the free slots and queues some tasks, so that all further ones queue.
  const startsUntilFull = Math.floor(endpoints * SLOTS_PER_ENDPOINT * 0.2) +
    200;
  for (let number = 0; number < startsUntilFull; number++) startTask();
  startDurations.reset();
  for (let number = 0; number < 500; number++) startTask();
  addRow(
    "queue when full, p99",
    startDurations.getValueAtPercentile(99) / 1e3,
    "us",
  );
}

function measureConfiguration(teams: number): void {
  const addRow = makeRowAdder("configuration", teams);
  const items = makeItems(teams, 10);
  const options = { author: "a", writer: "w", now: NOW_MS };
  const initialUpdate = stageItems(createConfigState(), items, options);
  const state = adoptUpdate(createConfigState(), initialUpdate);
  const changedItems = { ...items, "teams.t0": JSON.stringify({ share: 2 }) };
  const changeUpdate = stageItems(state, changedItems, options);
  addRow("whole", JSON.stringify(initialUpdate).length, "byte");
  addRow("one change", JSON.stringify(changeUpdate).length, "byte");
  addRow(
    "stage",
    measureMedianMs(20, () => stageItems(state, changedItems, options)),
    "ms",
  );
  addRow(
    "adopt",
    measureMedianMs(20, () => adoptUpdate(state, changeUpdate)),
    "ms",
  );
}

function measureLimits(entries: number): void {
  const addRow = makeRowAdder("rebalancing", entries);
  const holders = Array.from({ length: entries }, (_, n) => `d/vm${n}/nonce`);
  const domains = Array.from({ length: 18 }, (_, n) => `domain-${n}`);
  const limits = Object.fromEntries(
    Array.from({ length: 370 }, (_, n) => [`team-${n}`, 700]),
  );
  const bucketTeams = Object.keys(limits).filter((name) =>
    findBucket(name) === 0
  );
  const view = {
    domain: domains[0],
    holder: holders[0],
    holders,
    domains,
    version: 1,
    limits,
    demand: new Map(
      bucketTeams.map((name) => [name, { usage: 5, waiting: 1 }]),
    ),
    predecessorTasks: {},
    draining: false,
  };
  let records = {
    fleet: createFleetBucket(),
    domain: createDomainBucket(),
    bucket: 0,
  };
  // Every holder in every domain plans once, so that `records` is filled.
  for (const domain of domains) {
    for (const holder of holders) {
      const isMeasuredDomain = domain === domains[0];
      const plan = planLimits(
        isMeasuredDomain
          ? records
          : { ...records, domain: createDomainBucket() },
        { ...view, domain, holder },
        { writer: "w" },
      );
      const domainBucket = isMeasuredDomain ? plan.domain : undefined;
      records = {
        fleet: plan.fleet ?? records.fleet,
        domain: domainBucket ?? records.domain,
        bucket: 0,
      };
    }
  }
  const plan = () => planLimits(records, view, { writer: "w" });
  addRow("one bucket", measureMedianMs(50, plan), "ms");
  addRow("fleet record", JSON.stringify(records.fleet).length, "byte");
  addRow("domain record", JSON.stringify(records.domain).length, "byte");
}

function measureMembership(endpoints: number): void {
  const addRow = makeRowAdder("membership", endpoints);
  const shardSizes = new Array<number>(64).fill(0);
  for (let n = 0; n < endpoints; n++) shardSizes[findShard(`w${n}`)] += 1;
  const self = { vm: "e0", incarnation: "d/e0/1", callers: "", peers: "" };
  const view = {
    self,
    hasJoined: false,
    draining: false,
    idle: false,
    gone: new Set<string>(),
    reachable: new Set<string>(),
    shardSizes,
    quiesced: new Map(),
    recovered: new Map(),
  };
  const options = { writer: "w" };
  const plan = planMembership(createDomainRecord(NOW_MS), view, options)!;
  const joinedView = { ...view, hasJoined: true };
  const planNextStep = () => planMembership(plan.record, joinedView, options);
  addRow("one step", measureMedianMs(50, planNextStep), "ms");
  addRow("record", JSON.stringify(plan.record).length, "byte");
}

function makeEngine(endpoints: number): Engine {
  const random = new SeededRandom(1);
  const placement = new SampledPlacement(random);
  const engine = new Engine({ incarnation: "d/e/1", random, placement });
  const specs = Array.from({ length: endpoints }, (_, n) => makeSpec(n));
  engine.handle({
    type: EngineEventType.EndpointsChanged,
    endpoints: specs,
    owned: new Set(Array.from({ length: 64 }, (_, n) => n)),
    quiescing: new Set(),
    handedOverTasks: {},
  }, NOW_MS);
  const grants = Object.fromEntries(
    Array.from({ length: 370 }, (_, n) => [`team-${n}`, 1_000_000]),
  );
  const type = EngineEventType.GrantsChanged;
  engine.handle({ type, grants }, NOW_MS);
  for (const spec of specs) list(engine, spec.id);
  return engine;
}

function makeSpec(number: number): EndpointSpec {
  const id = `endpoint-${number}`;
  return {
    id,
    address: `10.0.${number >> 8}.${number & 255}:8000`,
    rack: `rack-${number >> 3}`,
    shard: findShard(id),
    size: { cores: 32, memoryMb: 131_072, accelerators: 0 },
    slots: SLOTS_PER_ENDPOINT,
    connections: 60,
    leaving: false,
  };
}

function makeAttempt(number: number): Attempt {
  return {
    id: `work-${number}.0`,
    work: `work-${number}`,
    team: `team-${number % 370}`,
    queue: "batch",
    kind: WorkKind.Batch,
    size: { cores: 1 + number % 4, memoryMb: 512, accelerators: 0 },
    deadline: NOW_MS + 60_000,
    urgent: number % 5 === 0,
    payload: "{}",
    maxQueued: 1_000_000,
  };
}

function endTask(
  engine: Engine,
  task: { id: string; endpoint: string },
): void {
  const answer = {
    task: task.id,
    endpoint: task.endpoint,
    status: 200,
    contentType: "",
    encoding: BodyEncoding.Utf8,
    body: "",
  };
  const result = { kind: TaskResultKind.Answered, answer } as const;
  const type = EngineEventType.TaskEnded;
  engine.handle({ type, attempt: task.id, result }, NOW_MS);
}

/** Sends the engine a listing of exactly the tasks that its ledger contains. */
function list(engine: Engine, endpoint: string): void {
  const ledger = engine.state.endpoints.get(endpoint)!.ledger;
  const tasks = [...ledger.list()].map(({ id, size, team, starter }) => ({
    id,
    size,
    kind: WorkKind.Batch,
    labels: { team, starter, queue: "batch" },
  }));
  const usage = ledger.used;
  const listing = { tasks, usage, leaving: false };
  const type = EngineEventType.Listed;
  engine.handle({ type, endpoint, listing, sentAt: NOW_MS }, NOW_MS);
}

function measureListingUs(engine: Engine): number {
  const endpointIds = [...engine.state.endpoints.keys()].slice(0, 300);
  const applyListings = () => endpointIds.forEach((id) => list(engine, id));
  return measureMedianMs(5, applyListings) * 1_000 / endpointIds.length;
}

function tick(engine: Engine): void {
  engine.handle({ type: EngineEventType.Tick }, NOW_MS);
}

function makeItems(teams: number, keysPerTeam: number): ConfigItems {
  const items: ConfigItems = {};
  for (let n = 0; n < teams; n++) {
    items[`teams.t${n}`] = JSON.stringify({ share: 1, limit: 700 });
    items[`queues.q${n}`] = JSON.stringify({ teams: [`t${n}`], open: false });
    for (let key = 0; key < keysPerTeam; key++) {
      const value = { team: `t${n}`, hash: "0".repeat(64) };
      items[`keys.t${n}-${key}`] = JSON.stringify(value);
    }
  }
  return items;
}

/** Calls a function `count` times; returns the median duration in ms. */
function measureMedianMs(count: number, run: () => unknown): number {
  const durations: number[] = [];
  for (let number = 0; number < count; number++) {
    const startedAt = performance.now();
    run();
    durations.push(performance.now() - startedAt);
  }
  return durations.sort((a, b) => a - b)[Math.floor(count / 2)];
}

function measureHeapBytes(): number {
  globalThis.gc?.();
  return process.memoryUsage().heapUsed;
}

function makeRowAdder(role: string, size: number) {
  return (measure: string, value: number, unit: string) =>
    rows.push({ role, measure, size, value, unit });
}

function printRows(): void {
  if (values.json) {
    process.stdout.write(`${JSON.stringify(rows)}\n`);
    return;
  }
  const table = rows.map(({ role, measure, size, value, unit }) => [
    role,
    measure,
    String(size),
    value.toPrecision(3),
    unit,
  ]);
  table.unshift(["role", "measure", "size", "value", "unit"]);
  process.stdout.write(`${formatTable(table)}\n`);
  const { rss } = process.memoryUsage();
  const mebibytes = Math.round(rss / 1024 / 1024);
  process.stdout.write(`resident memory at the end: ${mebibytes} MiB\n`);
}
