import test, { type ExecutionContext } from "ava";
import {
  type EndpointEvent,
  EndpointEventKind,
} from "../standins/endpoint_lifetime.ts";
import { formatTaskCrash } from "../standins/task_crash.ts";
import { SoakChecker } from "./checker.ts";
import { CONTACT_MS, HEARTBEAT_MS, MAX_LATE_MS } from "./constants.ts";
import {
  CallKind,
  Rule,
  type SoakCall,
  type SoakEvent,
  SoakEventKind,
  type SoakRoom,
} from "./types.ts";

const ID = "00000000000000a1";
const TASK = `${ID}.0.0.0`;
const SECOND_TASK = `${ID}.0.1.0`;
const STEP = { tasks: 1, milliCores: 3_000, memoryMb: 100, runMs: 100 };
const JOB: SoakEvent = {
  kind: SoakEventKind.Job,
  at: 0,
  job: {
    id: ID,
    payload: "calves",
    steps: [{ ...STEP, after: [] }, { ...STEP, after: [0] }],
  },
};
const ROOMS = ["w0", "w1"].map((endpoint) => makeRoom({ endpoint }));
const CONFIG: SoakEvent = { kind: SoakEventKind.Config, at: 0, keys: ["k1"] };
const PLANNED_STOP: SoakEvent = {
  kind: SoakEventKind.Fault,
  at: 20_000,
  endsAt: 26_000,
  fault: "planned_stop",
  stoppedEntry: 1,
};
const NEXT_CONFIG: SoakEvent = {
  kind: SoakEventKind.Config,
  at: 10_000,
  keys: ["k2"],
};

function makeRoom(event: Partial<SoakRoom>): SoakRoom {
  return {
    kind: SoakEventKind.Room,
    at: 0,
    endpoint: "w0",
    milliCores: 4_000,
    memoryMb: 8_000,
    ...event,
  };
}

function makeRun(event: Partial<EndpointEvent>): EndpointEvent {
  return {
    kind: EndpointEventKind.Started,
    at: 100,
    endpoint: "w0",
    born: 1,
    task: TASK,
    run: 1,
    detail: "calves",
    isLate: false,
    ...event,
  };
}

function makeEnd(event: Partial<EndpointEvent>): EndpointEvent {
  return makeRun({
    kind: EndpointEventKind.Ended,
    at: 200,
    detail: "done",
    ...event,
  });
}

function makeAcknowledged(event: Partial<EndpointEvent>): EndpointEvent {
  return makeEnd({ kind: EndpointEventKind.Acknowledged, at: 250, ...event });
}

function makeCall(event: Partial<SoakCall>): SoakCall {
  const sentAt = event.sentAt ?? (event.at ?? 50) - 10;
  return {
    kind: SoakEventKind.Call,
    at: 50,
    call: CallKind.Submit,
    entry: 1,
    job: ID,
    key: "k1",
    status: 200,
    state: "",
    isWhole: true,
    detail: "",
    hasTimedOut: false,
    isRefused: false,
    ...event,
    sentAt,
  };
}

function findBrokenRules(events: SoakEvent[]): Rule[] {
  const checker = new SoakChecker();
  for (const event of [CONFIG, ...ROOMS, JOB, ...events]) {
    checker.observe(event);
  }
  checker.finish(events.at(-1)!.at);
  return [...new Set(checker.violations.map(({ rule }) => rule))];
}

function checkRule(t: ExecutionContext, rule: Rule, events: SoakEvent[]): void {
  t.deepEqual(findBrokenRules(events), [rule]);
}

const ACCEPTED = makeCall({});
const REST_OF_JOB: SoakEvent[] = [
  makeRun({ at: 300, task: SECOND_TASK }),
  makeEnd({ at: 400, task: SECOND_TASK }),
  makeCall({ at: 500, call: CallKind.Find, state: "completed" }),
];
const WHOLE_JOB: SoakEvent[] = [
  ACCEPTED,
  makeRun({}),
  makeEnd({}),
  makeAcknowledged({}),
  ...REST_OF_JOB,
];

test("a job that runs as promised breaks no rule", (t) => {
  t.deepEqual(findBrokenRules(WHOLE_JOB), []);
});

test("a task that starts again after a crash breaks no rule", (t) => {
  t.deepEqual(
    findBrokenRules([
      ACCEPTED,
      makeRun({}),
      makeEnd({ detail: "crashed" }),
      makeRun({ at: 210, run: 2, endpoint: "w1" }),
      makeEnd({ at: 220, run: 2, endpoint: "w1" }),
      ...REST_OF_JOB,
    ]),
    [],
  );
});

test("two runs of a task at once are found", (t) => {
  checkRule(t, Rule.AtOnce, [
    ACCEPTED,
    makeRun({}),
    makeRun({ at: 150, run: 2, endpoint: "w1" }),
    makeEnd({}),
    makeEnd({ at: 250, run: 2, endpoint: "w1" }),
    ...REST_OF_JOB,
  ]);
});

test("a start after an acknowledged end is found", (t) => {
  checkRule(t, Rule.AfterEnd, [
    ...WHOLE_JOB,
    makeRun({ at: 600, run: 2, endpoint: "w1" }),
  ]);
});

test("a start before the acknowledgement of an earlier end is found", (t) => {
  checkRule(t, Rule.AfterEnd, [
    ACCEPTED,
    makeRun({}),
    makeEnd({}),
    makeRun({ at: 210, run: 2, endpoint: "w1" }),
    makeEnd({ at: 220, run: 2, endpoint: "w1" }),
    makeAcknowledged({}),
    ...REST_OF_JOB,
  ]);
});

test("a start beyond an endpoint's capacity is found", (t) => {
  const other = "00000000000000a2";
  checkRule(t, Rule.Capacity, [
    { ...JOB, job: { ...JOB.job, id: other } },
    makeCall({ job: other, status: 504 }),
    makeRun({ at: 60, task: `${other}.0.0.0` }),
    ...WHOLE_JOB,
  ]);
});

const SHRUNK = makeRoom({ at: 1_000, milliCores: 2_000 });

test("a start beyond a room that has shrunk is found a while later", (t) => {
  const startAt = (at: number, isLate = false) => [
    SHRUNK,
    ACCEPTED,
    makeRun({ at, isLate }),
    makeEnd({ at: at + 100 }),
    makeRun({ at: at + 200, task: SECOND_TASK, endpoint: "w1" }),
    makeEnd({ at: at + 300, task: SECOND_TASK, endpoint: "w1" }),
    makeCall({ at: at + 400, call: CallKind.Find, state: "completed" }),
  ];
  const countedFrom = SHRUNK.at + CONTACT_MS + HEARTBEAT_MS;
  checkRule(t, Rule.Capacity, startAt(countedFrom));
  t.deepEqual(findBrokenRules(startAt(countedFrom - 1)), []);
  t.deepEqual(findBrokenRules(startAt(countedFrom, true)), []);
  checkRule(t, Rule.Capacity, startAt(countedFrom + MAX_LATE_MS, true));
});

test("a room that shrinks and grows again counts as grown", (t) => {
  const grown = makeRoom({ at: 7_000 });
  t.deepEqual(
    findBrokenRules([
      SHRUNK,
      grown,
      ACCEPTED,
      makeRun({ at: 7_100 }),
      makeEnd({ at: 7_200 }),
      makeRun({ at: 7_300, task: SECOND_TASK }),
      makeEnd({ at: 7_400, task: SECOND_TASK }),
      makeCall({ at: 7_500, call: CallKind.Find, state: "completed" }),
    ]),
    [],
  );
});

const CRASHING_ID = "00000000000000c1";
const CRASHING_TASK = `${CRASHING_ID}.0.0.0`;
const PAYLOAD = formatTaskCrash({ isAnswered: true, afterMs: 5 });
const CRASHING_JOB: SoakEvent = {
  kind: SoakEventKind.Job,
  at: 0,
  job: {
    id: CRASHING_ID,
    payload: PAYLOAD,
    steps: [{ ...STEP, after: [] }],
  },
};

/** Lists starts of the crashing task, each with the crash of its endpoint. */
function listCrashingRuns(count: number): SoakEvent[] {
  return Array.from({ length: count }, (_, n) => {
    const run = { task: CRASHING_TASK, run: n + 1, born: n };
    const at = 1_000 * (n + 1);
    return [
      makeRun({ ...run, at, detail: PAYLOAD }),
      makeEnd({ ...run, at: at + 5, detail: "crashed" }),
    ];
  }).flat();
}

test("a task that is started too often after it crashed endpoints is found", (t) => {
  const accepted = makeCall({ job: CRASHING_ID });
  const start = [CRASHING_JOB, accepted, ...WHOLE_JOB];
  checkRule(t, Rule.Crashes, [...start, ...listCrashingRuns(6)]);
  t.deepEqual(findBrokenRules([...start, ...listCrashingRuns(5)]), []);
});

test("a job is given up only after its own tasks crashed two endpoints", (t) => {
  const start = [CRASHING_JOB, makeCall({ job: CRASHING_ID }), ...WHOLE_JOB];
  const findFailed = (at: number) =>
    makeCall({ at, job: CRASHING_ID, call: CallKind.Find, state: "failed" });
  const runs = listCrashingRuns(2);
  t.deepEqual(findBrokenRules([...start, ...runs, findFailed(3_000)]), []);
  checkRule(t, Rule.State, [...start, ...runs.slice(0, 2), findFailed(1_500)]);
});

test("a job whose tasks only ran on crashed endpoints is not given up", (t) => {
  const runs = [1, 2].flatMap((run) => [
    makeRun({ run, at: 1_000 * run }),
    makeEnd({ run, at: 1_000 * run + 5, detail: "crashed" }),
  ]);
  const failed = makeCall({ at: 3_000, call: CallKind.Find, state: "failed" });
  t.true(findBrokenRules([ACCEPTED, ...runs, failed]).includes(Rule.State));
});

test("a start before an earlier step is done is found", (t) => {
  checkRule(t, Rule.Order, [
    ACCEPTED,
    makeRun({}),
    makeRun({ at: 150, task: SECOND_TASK, endpoint: "w1" }),
    makeEnd({}),
    makeEnd({ at: 250, task: SECOND_TASK, endpoint: "w1" }),
    makeCall({ at: 500, call: CallKind.Find, state: "completed" }),
  ]);
});

test("starts of unknown jobs and with another payload are found", (t) => {
  const task = "00000000000000ff.0.0.0";
  checkRule(t, Rule.Unasked, [...WHOLE_JOB, makeRun({ at: 600, task })]);
  checkRule(t, Rule.Unasked, [
    ACCEPTED,
    makeRun({ detail: "cows" }),
    makeEnd({}),
    ...REST_OF_JOB,
  ]);
});

test("a start after a job was cancelled is found, unless faults are near", (t) => {
  const cancel = makeCall({ at: 1_000, call: CallKind.Cancel });
  const events = [ACCEPTED, cancel, makeRun({ at: 4_500 })];
  checkRule(t, Rule.Cancelled, events);
  const fault: SoakEvent = {
    kind: SoakEventKind.Fault,
    at: 900,
    endsAt: 2_000,
    fault: "kill",
    stoppedEntry: -1,
  };
  t.deepEqual(findBrokenRules([fault, ...events]), []);
});

test("a start of a refused job is found", (t) => {
  checkRule(t, Rule.NotRun, [makeCall({ status: 503 }), makeRun({})]);
});

test("an accepted job that is unknown later is found", (t) => {
  const call = makeCall({ at: 9_000, call: CallKind.Find, status: 410 });
  checkRule(t, Rule.Unknown, [...WHOLE_JOB, call]);
});

test("states that no history allows are found", (t) => {
  const findState = (state: string) =>
    makeCall({ at: 500, call: CallKind.Find, state });
  checkRule(t, Rule.State, [ACCEPTED, findState("completed")]);
  checkRule(t, Rule.State, [...WHOLE_JOB, findState("failed")]);
  checkRule(t, Rule.State, [...WHOLE_JOB, findState("cancelled")]);
});

test("an accepted job that never ends is found", (t) => {
  const call = makeCall({ at: 500, call: CallKind.Find, state: "running" });
  checkRule(t, Rule.Unfinished, [ACCEPTED, makeRun({}), call]);
});

test("a job of which nothing runs long after the load is found, unless endpoints are full", (t) => {
  const recovered = { kind: SoakEventKind.Recovered, at: 1_000, entry: 1 };
  const lateEnd = [
    makeRun({ at: 19_000, task: SECOND_TASK }),
    makeEnd({ at: 19_500, task: SECOND_TASK }),
    makeCall({ at: 19_600, call: CallKind.Find, state: "completed" }),
  ];
  const events: SoakEvent[] = [
    ACCEPTED,
    makeRun({}),
    makeEnd({}),
    recovered as SoakEvent,
  ];
  checkRule(t, Rule.Waiting, [...events, ...lateEnd]);

  const other = "00000000000000a2";
  const busy: SoakEvent[] = [0, 1].flatMap((n) => {
    const task = `${other}.0.0.${n}`;
    const endpoint = `w${n}`;
    return [
      makeRun({ at: 14_000, task, endpoint }),
      makeEnd({ at: 18_500, task, endpoint }),
    ];
  });
  const otherJob: SoakEvent = {
    ...JOB,
    job: { ...JOB.job, id: other, steps: [{ ...STEP, tasks: 2, after: [] }] },
  };
  const otherCalls = [
    makeCall({ job: other }),
    makeCall({
      at: 18_600,
      job: other,
      call: CallKind.Find,
      state: "completed",
    }),
  ];
  t.deepEqual(
    findBrokenRules(
      [...events, otherJob, ...busy, ...otherCalls, ...lateEnd].sort((a, b) =>
        a.at - b.at
      ),
    ),
    [],
  );
  const inTime = lateEnd.map((event) => ({ ...event, at: event.at - 10_000 }));
  t.deepEqual(findBrokenRules([...events, ...inTime]), []);
});

test("an answer that is not whole is found", (t) => {
  const call = makeCall({ at: 600, call: CallKind.Find, isWhole: false });
  checkRule(t, Rule.Answer, [...WHOLE_JOB, call]);
});

test("an answer that is lost around a planned stop is found, unless other faults are near", (t) => {
  const call = makeCall({ sentAt: 20_500, at: 21_000, status: 0 });
  checkRule(t, Rule.PlannedStop, [...WHOLE_JOB, PLANNED_STOP, call]);
  const otherStop = { ...PLANNED_STOP, at: 20_200, stoppedEntry: 2 };
  checkRule(t, Rule.PlannedStop, [
    ...WHOLE_JOB,
    PLANNED_STOP,
    otherStop,
    call,
  ]);
  const fault: SoakEvent = { ...PLANNED_STOP, at: 15_000, endsAt: 18_000 };
  const other: SoakEvent = { ...fault, stoppedEntry: -1 };
  t.deepEqual(
    findBrokenRules([...WHOLE_JOB, other, PLANNED_STOP, call]),
    [],
  );
});

test("a withdrawn key that still works is found", (t) => {
  const call = makeCall({ at: 15_500 });
  checkRule(t, Rule.Key, [...WHOLE_JOB, NEXT_CONFIG, call]);
  const soonCall = makeCall({ at: 14_000 });
  t.deepEqual(findBrokenRules([...WHOLE_JOB, NEXT_CONFIG, soonCall]), []);
});

test("a valid key that is refused is found", (t) => {
  const call = makeCall({ at: 13_000, key: "k2", status: 401 });
  checkRule(t, Rule.Key, [...WHOLE_JOB, NEXT_CONFIG, call]);
});

test("a late recovery is found", (t) => {
  checkRule(t, Rule.Recovery, [
    ...WHOLE_JOB,
    { kind: SoakEventKind.Healed, at: 20_000 },
    { kind: SoakEventKind.Recovered, at: 33_000, entry: 1 },
  ]);
});
