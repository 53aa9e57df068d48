/**
 * Measures how state, time and message sizes grow with the size of the fleet,
 * one process at a time, and prints a table.
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

interface Row {
  role: string;
  measure: string;
  size: number;
  value: number;
  unit: string;
}

const NOW = 1_000_000;
const SLOTS = 8;
const rows: Row[] = [];

const { values } = parseArgs({ options: { json: { type: "boolean" } } });
for (const size of [300, 1_333, 6_000, 24_000]) measureOwning(size);
for (const size of [100, 370, 1_000]) measureConfiguration(size);
for (const size of [3, 6, 12]) measureLimits(size);
for (const size of [300, 1_333, 6_000]) measureMembership(size);
printRows();

function measureOwning(endpoints: number): void {
  const before = measureHeap();
  const engine = makeEngine(endpoints);
  const add = makeAdder("owning", endpoints);
  add("heap for one endpoint", (measureHeap() - before) / endpoints, "byte");
  const durations = build();
  const running: { id: string; endpoint: string }[] = [];
  const total = Math.floor(endpoints * SLOTS * 0.8);
  let sequence = 0;
  const start = () => {
    const attempt = makeAttempt(sequence++);
    const began = process.hrtime.bigint();
    const decisions = engine.handle(
      { type: EngineEventType.Submit, attempt },
      NOW,
    );
    durations.recordValue(Number(process.hrtime.bigint() - began));
    for (const decision of decisions) {
      if (decision.type !== DecisionType.Start) continue;
      running.push({ id: attempt.id, endpoint: decision.endpoint.id });
    }
  };
  for (let number = 0; number < total; number++) start();
  add("heap for one running task", (measureHeap() - before) / total, "byte");
  durations.reset();
  const ends = build();
  const random = new SeededRandom(3);
  for (let number = 0; number < 20_000; number++) {
    const [task] = running.splice(random.drawInt(running.length), 1);
    const began = process.hrtime.bigint();
    endTask(engine, task);
    ends.recordValue(Number(process.hrtime.bigint() - began));
    start();
  }
  add("start, median", durations.getValueAtPercentile(50) / 1_000, "us");
  add("start, p99", durations.getValueAtPercentile(99) / 1_000, "us");
  add("end, p99", ends.getValueAtPercentile(99) / 1_000, "us");
  add("tick", measureTime(20, () => tick(engine)) * 1_000, "us");
  add("listing", measureListings(engine), "us");
  const full = Math.floor(endpoints * SLOTS * 0.2) + 200;
  for (let number = 0; number < full; number++) start();
  durations.reset();
  for (let number = 0; number < 500; number++) start();
  add("queue when full, p99", durations.getValueAtPercentile(99) / 1e3, "us");
}

function measureConfiguration(teams: number): void {
  const add = makeAdder("configuration", teams);
  const items = makeItems(teams, 10);
  const options = { author: "a", writer: "w", now: NOW };
  const first = stageItems(createConfigState(), items, options);
  const state = adoptUpdate(createConfigState(), first);
  const changed = { ...items, "teams.t0": JSON.stringify({ share: 2 }) };
  const update = stageItems(state, changed, options);
  add("whole", JSON.stringify(first).length, "byte");
  add("one change", JSON.stringify(update).length, "byte");
  add(
    "stage",
    measureTime(20, () => stageItems(state, changed, options)),
    "ms",
  );
  add("adopt", measureTime(20, () => adoptUpdate(state, update)), "ms");
}

function measureLimits(entries: number): void {
  const add = makeAdder("rebalancing", entries);
  const holders = Array.from({ length: entries }, (_, n) => `d/vm${n}/nonce`);
  const domains = Array.from({ length: 18 }, (_, n) => `domain-${n}`);
  const limits = Object.fromEntries(
    Array.from({ length: 370 }, (_, n) => [`team-${n}`, 700]),
  );
  const names = Object.keys(limits).filter((name) => findBucket(name) === 0);
  const view = {
    domain: domains[0],
    holder: holders[0],
    holders,
    domains,
    version: 1,
    limits,
    demand: new Map(names.map((name) => [name, { usage: 5, waiting: 1 }])),
    predecessorTasks: {},
    draining: false,
  };
  let current = {
    fleet: createFleetBucket(),
    domain: createDomainBucket(),
    bucket: 0,
  };
  for (const domain of domains) {
    for (const holder of holders) {
      const own = domain === domains[0];
      const plan = planLimits(
        own ? current : { ...current, domain: createDomainBucket() },
        { ...view, domain, holder },
        { writer: "w" },
      );
      const domainBucket = own ? plan.domain : undefined;
      current = {
        fleet: plan.fleet ?? current.fleet,
        domain: domainBucket ?? current.domain,
        bucket: 0,
      };
    }
  }
  const plan = () => planLimits(current, view, { writer: "w" });
  add("one bucket", measureTime(50, plan), "ms");
  add("fleet record", JSON.stringify(current.fleet).length, "byte");
  add("domain record", JSON.stringify(current.domain).length, "byte");
}

function measureMembership(endpoints: number): void {
  const add = makeAdder("membership", endpoints);
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
  const plan = planMembership(createDomainRecord(NOW), view, options)!;
  const joined = { ...view, hasJoined: true };
  const step = () => planMembership(plan.record, joined, options);
  add("one step", measureTime(50, step), "ms");
  add("record", JSON.stringify(plan.record).length, "byte");
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
  }, NOW);
  const grants = Object.fromEntries(
    Array.from({ length: 370 }, (_, n) => [`team-${n}`, 1_000_000]),
  );
  const type = EngineEventType.GrantsChanged;
  engine.handle({ type, grants }, NOW);
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
    slots: SLOTS,
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
    deadline: NOW + 60_000,
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
  engine.handle({ type, attempt: task.id, result }, NOW);
}

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
  engine.handle({ type, endpoint, listing, sentAt: NOW }, NOW);
}

function measureListings(engine: Engine): number {
  const names = [...engine.state.endpoints.keys()].slice(0, 300);
  const run = () => names.forEach((name) => list(engine, name));
  return measureTime(5, run) * 1_000 / names.length;
}

function tick(engine: Engine): void {
  engine.handle({ type: EngineEventType.Tick }, NOW);
}

function makeItems(teams: number, keysOfTeam: number): ConfigItems {
  const items: ConfigItems = {};
  for (let n = 0; n < teams; n++) {
    items[`teams.t${n}`] = JSON.stringify({ share: 1, limit: 700 });
    items[`queues.q${n}`] = JSON.stringify({ teams: [`t${n}`], open: false });
    for (let key = 0; key < keysOfTeam; key++) {
      const value = { team: `t${n}`, hash: "0".repeat(64) };
      items[`keys.t${n}-${key}`] = JSON.stringify(value);
    }
  }
  return items;
}

/** Returns the median duration of a function in milliseconds. */
function measureTime(times: number, run: () => unknown): number {
  const durations: number[] = [];
  for (let number = 0; number < times; number++) {
    const began = performance.now();
    run();
    durations.push(performance.now() - began);
  }
  return durations.sort((a, b) => a - b)[Math.floor(times / 2)];
}

function measureHeap(): number {
  globalThis.gc?.();
  return process.memoryUsage().heapUsed;
}

function makeAdder(role: string, size: number) {
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
  process.stdout.write(`resident at the end: ${mebibytes} MiB\n`);
}
