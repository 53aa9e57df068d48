import test from "ava";
import { DecisionKind } from "../../packages/cell/mod.ts";
import { type Demand, JobState } from "../../packages/jobs/mod.ts";
import { CellSite, makeJob, makeStep } from "./cell_site.ts";

const LONG_RUN_MS = 60_000;
const SMALL_ROOM = { milliCores: 4_000, memoryMb: 8_000, accelerators: 0 };
const FULL_ROOM = { milliCores: 8_000, memoryMb: 8_000, accelerators: 0 };
/** Room for one task of a core in memory, although the cores suffice for more. */
const LITTLE_MEMORY = { milliCores: 8_000, memoryMb: 100, accelerators: 0 };

/** Changes the room of an endpoint; the owner reads it in the endpoint's record. */
function setRoom(site: CellSite, id: string, room: Demand): void {
  site.endpoints.get(id)!.capacity = room;
  site.applyEndpointList();
}

/** Sums the runs on all endpoints. */
function countRuns(site: CellSite): number {
  return [...site.endpoints.values()].reduce(
    (sum, { runs }) => sum + runs.size,
    0,
  );
}

/** Makes a site whose commits take long, with a placement that is being stored. */
function placeBeforeCommit(
  step: Parameters<typeof makeStep>[0],
  options: { endpoints: number },
): CellSite {
  const site = new CellSite({ ...options, afterMs: LONG_RUN_MS });
  site.advance(200);
  site.commitMs = 500;
  site.submit(makeJob("a", [makeStep(step)]));
  site.advance(600);
  return site;
}

// Guards against starts beyond the room of an endpoint that shrank while their
// placement was being stored.
test("a start whose placement is stored after the room shrank is not sent", (t) => {
  const site = placeBeforeCommit({ tasks: 8 }, { endpoints: 1 });
  t.is(site.checker.starts, 0);
  t.is(site.cell.state.endpoints.get("e0")?.runs.size, 8);
  setRoom(site, "e0", SMALL_ROOM);
  site.advance(3_000);
  t.deepEqual(site.checker.violations, []);
  t.is(site.checker.starts, 4);
  setRoom(site, "e0", FULL_ROOM);
  site.advance(3_000);
  t.is(countRuns(site), 8);
  t.deepEqual(site.checker.violations, []);
});

// As above: the free cores hide that the memory no longer suffices.
test("a start is not sent if one of the resources of a smaller room no longer suffices", (t) => {
  const site = placeBeforeCommit({ tasks: 3 }, { endpoints: 1 });
  setRoom(site, "e0", LITTLE_MEMORY);
  site.advance(3_000);
  t.deepEqual(site.checker.violations, []);
  t.is(site.checker.starts, 1);
});

// Guards against a gang of which some tasks start while one has lost its room: the
// others would wait for it and end.
test("no task of a gang is started if the room of one shrank while its placement was stored", (t) => {
  const site = placeBeforeCommit({ tasks: 16, gang: true }, { endpoints: 2 });
  t.is(site.checker.starts, 0);
  setRoom(site, "e1", SMALL_ROOM);
  site.advance(5_000);
  t.is(site.checker.starts, 0);
  t.is(site.calls.stops, 0);
  setRoom(site, "e1", FULL_ROOM);
  site.advance(3_000);
  t.is(countRuns(site), 16);
  t.deepEqual(site.checker.violations, []);
});

test("nothing starts on an endpoint until what runs there fits its smaller room", (t) => {
  const site = new CellSite({ endpoints: 1, afterMs: LONG_RUN_MS });
  const fake = site.endpoints.get("e0")!;
  site.submit(makeJob("a", [makeStep({ tasks: 8 })]));
  site.advance(300);
  setRoom(site, "e0", SMALL_ROOM);
  site.submit(makeJob("b", [makeStep({ tasks: 2 })]));
  site.submit(makeJob("f", [makeStep({ isFilling: true })]));
  for (const runsLeft of [7, 6, 5]) {
    const [run] = fake.runs.values();
    run.endsAt = site.now;
    site.advance(500);
    t.is(fake.runs.size, runsLeft);
  }
  for (const run of [...fake.runs.values()].slice(0, 2)) run.endsAt = site.now;
  site.advance(500);
  t.is([...fake.runs.keys()].filter((task) => task.startsWith("b")).length, 1);
  t.deepEqual(site.checker.violations, []);
});

test("runs that are being stopped take room of an endpoint that has shrunk", (t) => {
  const site = new CellSite({ endpoints: 1, afterMs: LONG_RUN_MS });
  const fake = site.endpoints.get("e0")!;
  fake.getStopMs = () => 400;
  site.submit(makeJob("a", [makeStep({ tasks: 4 })]));
  site.submit(makeJob("b", [makeStep({ tasks: 4 })]));
  site.advance(300);
  site.cancel("a");
  setRoom(site, "e0", SMALL_ROOM);
  site.submit(makeJob("c", [makeStep({ tasks: 4 })]));
  site.advance(LONG_RUN_MS - 1_000);
  t.is(site.checker.starts, 8);
  site.advance(2_000);
  t.is(site.checker.starts, 12);
  t.deepEqual(site.checker.violations, []);
});

test("what runs when the room shrinks is neither stopped nor started elsewhere", (t) => {
  const site = new CellSite({ endpoints: 2, afterMs: 3_000 });
  site.submit(makeJob("a", [makeStep({ tasks: 16 })]));
  site.advance(300);
  setRoom(site, "e0", { milliCores: 0, memoryMb: 0, accelerators: 0 });
  site.advance(5_000);
  t.is(site.calls.stops, 0);
  t.is(site.checker.starts, 16);
  t.is(site.checker.done.size, 16);
  t.deepEqual(site.checker.violations, []);
});

test("a new owner starts nothing on the room from before it took over", (t) => {
  const site = new CellSite({ endpoints: 1, afterMs: LONG_RUN_MS });
  site.submit(makeJob("a", [makeStep({ tasks: 3 })]));
  site.advance(300);
  site.takeSnapshot();
  site.endpoints.get("e0")!.capacity = SMALL_ROOM;
  site.replaceOwner({ isListLate: true });
  site.submit(makeJob("b", [makeStep({ tasks: 5 })]));
  site.advance(1_000);
  t.is(site.checker.starts, 3);
  site.applyEndpointList();
  site.advance(1_000);
  t.is(site.checker.starts, 4);
  t.deepEqual(site.checker.violations, []);
});

// Guards against refusals of jobs that fit again once the room grows.
test("a job is accepted although the endpoints have too little room for it at present", (t) => {
  const site = new CellSite({ endpoints: 2 });
  site.advance(200);
  for (const id of site.endpoints.keys()) setRoom(site, id, SMALL_ROOM);
  const demand = { milliCores: 6_000, memoryMb: 100, accelerators: 0 };
  site.submit(makeJob("a", [makeStep({ demand })]));
  site.advance(1_000);
  t.is(site.find("a"), JobState.Pending);
  setRoom(site, "e0", FULL_ROOM);
  site.advance(2_000);
  t.is(site.find("a"), JobState.Completed);
  t.deepEqual(site.checker.violations, []);
});

test("each change of an endpoint's room is a decision with what runs there", (t) => {
  const site = new CellSite({ endpoints: 1, afterMs: LONG_RUN_MS });
  site.submit(makeJob("a", [makeStep({ tasks: 6 })]));
  site.advance(300);
  site.cell.collectOutput();
  const rooms = [
    SMALL_ROOM,
    { ...SMALL_ROOM },
    FULL_ROOM,
    { milliCores: 9_000, memoryMb: 4_000, accelerators: 0 },
  ];
  const decisions = rooms.flatMap((room) => {
    setRoom(site, "e0", room);
    return site.cell.collectOutput().decisions;
  });
  t.deepEqual(decisions.map(({ kind }) => kind), [
    DecisionKind.RoomShrunk,
    DecisionKind.RoomGrown,
    DecisionKind.RoomShrunk,
  ]);
  const { from, to, taken } = decisions[0].inputs;
  t.deepEqual({ from, to, taken }, {
    from: [8_000, 8_000, 0],
    to: [4_000, 8_000, 0],
    taken: [6_000, 600, 0],
  });
});

// Guards against starts on the room from before an outage of the store.
test("nothing starts on an endpoint whose record is outdated", (t) => {
  const site = new CellSite({ endpoints: 1 });
  const infos = [...site.cell.state.endpoints.values()].map(({ info }) => info);
  site.cell.updateEndpoints(infos, { unconfirmed: new Set(["e0"]) });
  site.submit(makeJob("a", [makeStep()]));
  site.advance(1_000);
  t.is(site.checker.starts, 0);
  site.cell.updateEndpoints(infos);
  site.advance(1_000);
  t.is(site.checker.starts, 1);
});
