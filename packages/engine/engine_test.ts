import test from "ava";
import { Cause, SeededRandom, Verdict, WorkKind } from "../base/mod.ts";
import { TaskResultKind } from "../endpoints/mod.ts";
import {
  type Attempt,
  type Decision,
  DecisionType,
  type EndpointSpec,
  EndpointStatus,
  Engine,
  type EngineEvent,
  EngineEventType,
  SampledPlacement,
} from "./mod.ts";

const NOW = 1_000_000;
const SIZE = { cores: 1, memoryMb: 10, accelerators: 0 };

function makeSpec(id: string): EndpointSpec {
  return {
    id,
    address: id,
    rack: "r1",
    shard: 1,
    size: { cores: 8, memoryMb: 1_000, accelerators: 0 },
    slots: 2,
    connections: 8,
    leaving: false,
  };
}

function makeAttempt(id: string, overrides: Partial<Attempt> = {}): Attempt {
  return {
    id,
    work: id,
    team: "ox",
    queue: "filings",
    kind: WorkKind.Batch,
    size: SIZE,
    deadline: NOW + 10_000,
    urgent: false,
    payload: "{}",
    maxQueued: 3,
    ...overrides,
  };
}

/** Makes an engine with recovered endpoints that run no tasks. */
function makeEngine(endpoints: string[], grants: Record<string, number>) {
  const random = new SeededRandom(1);
  const placement = new SampledPlacement(random);
  const engine = new Engine({ incarnation: "a/a1/1", random, placement });
  const handle = (event: EngineEvent, now = NOW): Decision[] =>
    engine.handle(event, now);
  handle({
    type: EngineEventType.EndpointsChanged,
    endpoints: endpoints.map(makeSpec),
    owned: new Set([1]),
    quiescing: new Set(),
    handedOverTasks: {},
  });
  for (const endpoint of endpoints) handleListing(endpoint, []);
  handle({ type: EngineEventType.GrantsChanged, grants });
  function handleListing(
    endpoint: string,
    tasks: string[],
    sentAt = NOW,
  ): Decision[] {
    const listing = {
      tasks: tasks.map((id) => ({
        id,
        labels: { team: "ox", starter: "a/a0/1", queue: "filings" },
        kind: WorkKind.Batch,
        size: SIZE,
      })),
      usage: SIZE,
      leaving: false,
    };
    const type = EngineEventType.Listed;
    return handle({ type, endpoint, listing, sentAt }, sentAt + 5);
  }
  const submit = (attempt: Attempt, now = NOW) =>
    handle({ type: EngineEventType.Submit, attempt }, now);
  return { engine, handle, handleListing, submit };
}

function listTypes(decisions: Decision[]): DecisionType[] {
  return decisions.map((decision) => decision.type);
}

function findCause(decisions: Decision[]): Cause | undefined {
  for (const decision of decisions) {
    if (decision.type === DecisionType.Finish) return decision.outcome.cause;
  }
}

test("starts attempts that fit and queues the others", (t) => {
  const { submit, engine } = makeEngine(["w1"], { ox: 10 });
  t.deepEqual(listTypes(submit(makeAttempt("1"))), [DecisionType.Start]);
  t.deepEqual(listTypes(submit(makeAttempt("2"))), [DecisionType.Start]);
  t.deepEqual(submit(makeAttempt("3")), []);
  t.is(engine.state.queue.size, 1);
});

test("starts nothing above a team's grant", (t) => {
  const { submit, handle } = makeEngine(["w1", "w2"], { ox: 1 });
  submit(makeAttempt("1"));
  t.deepEqual(submit(makeAttempt("2")), []);
  const type = EngineEventType.GrantsChanged;
  t.deepEqual(listTypes(handle({ type, grants: { ox: 2 } })), [
    DecisionType.Start,
  ]);
});

test("refuses at once when the queue is full", (t) => {
  const { submit } = makeEngine(["w1"], { ox: 0 });
  for (const id of ["1", "2", "3"]) t.deepEqual(submit(makeAttempt(id)), []);
  t.is(findCause(submit(makeAttempt("4"))), Cause.QueueFull);
});

test("a repeated attempt is started once and gets the same outcome", (t) => {
  const { submit, handle } = makeEngine(["w1"], { ox: 10 });
  submit(makeAttempt("1"));
  t.deepEqual(submit(makeAttempt("1")), []);
  const result = { kind: TaskResultKind.Unknown, detail: "lost" } as const;
  handle({ type: EngineEventType.TaskEnded, attempt: "1", result });
  t.is(findCause(submit(makeAttempt("1"))), Cause.EndpointLost);
});

test("tries another endpoint after a refused connection", (t) => {
  const { submit, handle } = makeEngine(["w1", "w2"], { ox: 10 });
  submit(makeAttempt("1"));
  const decisions = handle({
    type: EngineEventType.TaskEnded,
    attempt: "1",
    result: {
      kind: TaskResultKind.NotStarted,
      detail: "refused",
      reachable: false,
    },
  });
  t.deepEqual(listTypes(decisions), [DecisionType.Start]);
});

test("keeps the hold of a task whose answer was lost", (t) => {
  const { submit, handle, handleListing, engine } = makeEngine(["w1"], {
    ox: 10,
  });
  submit(makeAttempt("1"));
  const result = { kind: TaskResultKind.Unknown, detail: "lost" } as const;
  handle({ type: EngineEventType.TaskEnded, attempt: "1", result });
  const { ledger } = engine.state.endpoints.get("w1")!;
  t.is(ledger.freeSlots, 1);
  handleListing("w1", [], NOW + 500);
  handleListing("w1", [], NOW + 600);
  t.is(ledger.freeSlots, 1, "requested too early to count as proof");
  handleListing("w1", [], NOW + 2_000);
  t.is(ledger.freeSlots, 1, "one listing is not enough");
  handleListing("w1", [], NOW + 3_000);
  t.is(ledger.freeSlots, 2);
});

test("adopts the tasks of a former owner before it starts any", (t) => {
  const { handle, handleListing, submit, engine } = makeEngine([], { ox: 10 });
  handle({
    type: EngineEventType.EndpointsChanged,
    endpoints: [makeSpec("w1")],
    owned: new Set([1]),
    quiescing: new Set(),
    handedOverTasks: {},
  });
  t.deepEqual(submit(makeAttempt("1")), []);
  t.is(engine.listRecovered([1]).size, 0);
  const decisions = handleListing("w1", ["old.0"]);
  t.true(listTypes(decisions).includes(DecisionType.Start));
  t.is(engine.state.endpoints.get("w1")!.ledger.freeSlots, 0);
  t.deepEqual(engine.listRecovered([1]).get(1), { "a/a0/1": { ox: 1 } });
});

test("an attempt that was settled before it arrived never starts", (t) => {
  const { submit, handle } = makeEngine(["w1"], { ox: 10 });
  const type = EngineEventType.Settle;
  handle({ type, attempt: "1", expires: NOW + 10_000 });
  t.is(findCause(submit(makeAttempt("1"))), Cause.LateAttempt);
});

test("ends a waiting attempt on cancel and stops a running one", (t) => {
  const { submit, handle } = makeEngine(["w1"], { ox: 1 });
  submit(makeAttempt("1"));
  submit(makeAttempt("2"));
  const type = EngineEventType.Cancel;
  const cancel = (attempt: string) =>
    handle({ type, attempt, expires: NOW + 10_000 });
  t.is(findCause(cancel("2")), Cause.Cancelled);
  t.deepEqual(listTypes(cancel("1")), [DecisionType.Stop]);
});

test("a lowered limit applies to a gang's existing reservation", (t) => {
  const { submit, handle, engine } = makeEngine(["w1"], { ox: 2 });
  handle({
    type: EngineEventType.Reserve,
    request: { hold: "h", team: "ox", tasks: 2, size: SIZE, expires: NOW + 9 },
  });
  handle({ type: EngineEventType.GrantsChanged, grants: { ox: 0 } });
  const kind = WorkKind.Gang;
  const decisions = submit(makeAttempt("1", { hold: "h", kind }));
  t.is(findCause(decisions), Cause.GangIncomplete);
  t.is(engine.findOutcome("1")?.verdict, Verdict.NotRun);
});

test("releases a reservation that expires unused", (t) => {
  const { handle, engine } = makeEngine(["w1"], { ox: 2 });
  handle({
    type: EngineEventType.Reserve,
    request: { hold: "h", team: "ox", tasks: 2, size: SIZE, expires: NOW + 9 },
  });
  t.is(engine.state.getUsage("ox"), 2);
  handle({ type: EngineEventType.Tick }, NOW + 10);
  t.is(engine.state.getUsage("ox"), 0);
});

test("ejects an endpoint whose tasks all fail, and probes it", (t) => {
  const endpointIds = ["w1", "w2", "w3", "w4"];
  const { submit, handle, engine } = makeEngine(endpointIds, { ox: 100 });
  for (let number = 0; number < 40; number++) {
    const id = String(number);
    const [start] = submit(makeAttempt(id));
    if (start?.type !== DecisionType.Start) continue;
    const endpoint = start.endpoint.id;
    const answer = {
      task: id,
      endpoint,
      status: endpoint === "w1" ? 500 : 200,
      contentType: "",
      encoding: "utf8" as never,
      body: "",
    };
    const result = { kind: TaskResultKind.Answered, answer } as const;
    handle({ type: EngineEventType.TaskEnded, attempt: id, result });
  }
  const ejected = engine.state.endpoints.get("w1")!;
  t.is(ejected.status, EndpointStatus.Ejected);
  t.false(ejected.canStart(NOW + 1_000));
  t.true(ejected.canStart(NOW + 6_000));
});
