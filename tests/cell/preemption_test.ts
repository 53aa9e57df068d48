import test from "ava";
import { PreemptionName, RunPhase } from "../../packages/cell/mod.ts";
import { EndKind, JobState, type StepSpec } from "../../packages/jobs/mod.ts";
import {
  CellSite,
  getJobId,
  makeJob,
  makeQueue,
  makeStep,
} from "./cell_site.ts";

const STOP_MS = 200;
const urgent = makeQueue({
  name: "urgent",
  priority: 0,
  stretch: 1.5,
  targetLatencyMs: 1_500,
});
const sweep = makeQueue({
  name: "sweep",
  priority: 2,
  targetLatencyMs: 90_000,
});

interface Options {
  preemption?: PreemptionName;
  endpoints?: number;
  /** Overrides of the step that fills the service. */
  long?: Partial<StepSpec>;
  /** Priority of the work that fills the service. */
  priority?: number;
  /** Age of its runs when the urgent work arrives, in milliseconds. */
  ageMs?: number;
  /** Tasks of the urgent step. */
  tasks?: number;
  targetLatencyMs?: number;
  /** Cores of each urgent task. */
  cores?: number;
  /** Urgent tasks that one endpoint may run; 0: any number. */
  maxPerEndpoint?: number;
  /** Estimated run time of each urgent task, in milliseconds. */
  estimateMs?: number;
  /** The tasks that fill the service have started up as soon as they run. */
  isServing?: boolean;
}

/** A service that is full of long tasks of one core when an urgent job arrives. */
function submitToFullService(options: Options = {}): CellSite {
  const { endpoints = 4, long, priority = 2, ageMs = 150 } = options;
  const preemption = options.preemption ?? PreemptionName.Urgent;
  const site = new CellSite({ endpoints, policies: { preemption } });
  for (const fake of site.endpoints.values()) {
    fake.getStopMs = () => STOP_MS;
    if (options.isServing) fake.getPercent = () => 100;
  }
  site.endRule = ({ task }) => ({
    afterMs: getJobId(task) === "long" ? 8_000 : 850,
    endKind: EndKind.Done,
  });
  site.pollIntervalMs = 20;
  site.advance(300);
  const tasks = endpoints * 8;
  const step = makeStep({ tasks, estimateMs: 8_000, ...long });
  site.submit(makeJob("long", [step], { queue: { ...sweep, priority } }));
  site.advance(ageMs);
  const queue = {
    ...urgent,
    targetLatencyMs: options.targetLatencyMs ?? urgent.targetLatencyMs,
  };
  const short = makeStep({
    tasks: options.tasks ?? 1,
    estimateMs: options.estimateMs ?? 850,
    maxPerEndpoint: options.maxPerEndpoint ?? 0,
    demand: {
      milliCores: (options.cores ?? 1) * 1_000,
      memoryMb: 100,
      accelerators: 0,
    },
  });
  site.submit(makeJob("short", [short], { queue }));
  return site;
}

// Load: a short urgent task arrives at a service that is full of long runs.
test("an urgent task takes the room of a run that has lost little work", (t) => {
  const site = submitToFullService();
  site.advance(1_275 + 1_500);
  t.is(site.find("short"), JobState.Completed);
  t.is(site.calls.stops, 1);
  site.advance(20_000);
  t.is(site.find("long"), JobState.Completed);
  t.deepEqual(site.checker.violations, []);
  const late = submitToFullService({ preemption: PreemptionName.None });
  late.advance(1_275 + 1_500);
  t.not(late.find("short"), JobState.Completed);
  t.is(late.calls.stops, 0);
});

const WITHOUT_PREEMPTION: Record<string, Options> = {
  "members of a gang": { long: { gang: true } },
  "work of the same priority": { priority: 0 },
  "long-running tasks beyond their budget": {
    long: { longRunning: true, maxAway: 1 },
  },
  "runs that would lose more than the urgent task is worth": { ageMs: 2_600 },
  "runs whose stop would come too late": { targetLatencyMs: 200 },
};

// Guards against stops that a caller was promised not to see, and that gain nothing.
for (const [name, options] of Object.entries(WITHOUT_PREEMPTION)) {
  test(`not preempted: ${name}`, (t) => {
    const site = submitToFullService(options);
    site.advance(3_000);
    t.is(site.calls.stops, 0);
    t.deepEqual(site.checker.violations, []);
  });
}

const BUDGET_USES: Record<string, Options> = {
  "on one endpoint": { endpoints: 1, cores: 2 },
  "on two endpoints": { endpoints: 40, tasks: 2 },
};

// Guards against one plan that stops more tasks of a step than its budget permits.
for (const [name, options] of Object.entries(BUDGET_USES)) {
  test(`preemptions ${name} keep the disruption budget of a step`, (t) => {
    const long = { longRunning: true, maxAway: 1 };
    const site = submitToFullService({ ...options, long, isServing: true });
    let most = 0;
    for (let elapsed = 0; elapsed < 2_000; elapsed += 10) {
      site.advance(10);
      const stage = site.cell.state.jobs.get("long")?.stages[0];
      const away = stage?.tasks.filter(({ run }) =>
        run?.phase !== RunPhase.Running
      );
      most = Math.max(most, away?.length ?? 0);
    }
    t.true(most <= 1, `${most} tasks were away at a time`);
    t.deepEqual(site.checker.violations, []);
  });
}

// Guards against stops for a task that may not start in the freed room.
test("no room is freed on an endpoint that runs as many tasks of the step as it may", (t) => {
  const site = submitToFullService({
    endpoints: 1,
    tasks: 2,
    maxPerEndpoint: 1,
    estimateMs: 1_500,
  });
  site.advance(900);
  t.is(site.calls.stops, 1);
  site.advance(10_000);
  t.is(site.find("short"), JobState.Completed);
  t.deepEqual(site.checker.violations, []);
});

// Guards against runs that are stopped, one after the other, for a task that must wait.
test("not preempted: any run for a suspect of crashes before its next trial", (t) => {
  const site = submitToFullService();
  const [task] = site.cell.state.jobs.get("short")!.stages[0].tasks;
  task.crashes.counted.push({
    run: 1,
    endpoint: "e0",
    bornAt: 1,
    chance: 1e-4,
    isSettled: true,
  });
  task.crashes.suspectedAt = site.now;
  task.crashes.retryAt = site.now + 60_000;
  site.advance(1_500);
  t.is(site.calls.stops, 0);
  t.deepEqual(site.checker.violations, []);
});

test("not preempted: any run while an endpoint has room", (t) => {
  const site = submitToFullService({ long: { tasks: 31 } });
  site.advance(1_500);
  t.is(site.find("short"), JobState.Completed);
  t.is(site.calls.stops, 0);
});

// Guards against a burst of urgent work that stops a whole service.
test("a wide urgent step preempts on a twentieth of the endpoints at a time", (t) => {
  const site = submitToFullService({ endpoints: 40, tasks: 60 });
  let most = 0;
  for (let elapsed = 0; elapsed < 3_000; elapsed += 10) {
    site.advance(10);
    most = Math.max(most, site.cell.state.stoppingRuns.size);
  }
  t.true(most > 0 && most <= 2, `${most} runs were stopped at a time`);
  t.deepEqual(site.checker.violations, []);
});

// Guards against a preempted task that goes behind work that came later.
test("a preempted task keeps its place in the order", (t) => {
  const site = submitToFullService();
  const step = makeStep({ tasks: 3, estimateMs: 8_000 });
  site.submit(makeJob("later", [step], { queue: sweep }));
  site.advance(1_000);
  const stage = site.cell.state.jobs.get("long")?.stages[0];
  t.is(stage?.waitingTasks, 1);
  site.advance(1_000);
  t.is(stage?.waitingTasks, 0);
  t.is(site.cell.state.jobs.get("later")?.stages[0].waitingTasks, 3);
});

test("a change of owner during a preemption: every task still runs once at a time", (t) => {
  const site = submitToFullService();
  site.advance(60);
  t.is(site.cell.state.stoppingRuns.size, 1);
  site.replaceOwner();
  site.advance(40_000);
  t.is(site.find("short"), JobState.Completed);
  t.is(site.find("long"), JobState.Completed);
  t.deepEqual(site.checker.violations, []);
});
