import test from "ava";
import {
  Admission,
  listDomainRuns,
  mayStillStart,
} from "../../packages/cell/mod.ts";
import { JobState } from "../../packages/jobs/mod.ts";
import { makeJob, makeQueue, makeStep, TICKETS } from "./cell_site.ts";
import { countStartsInA, evacuate, makeTwoDomains } from "./evacuation_site.ts";

const LONG_RUN_MS = 60_000;

test("short runs of an evacuated domain end there, and nothing starts there until the request is withdrawn", (t) => {
  const site = makeTwoDomains({ endpoints: 2, afterMs: 2_000 });
  site.submit(makeJob("a", [makeStep({ tasks: 16 })]));
  site.advance(300);
  t.is(countStartsInA(site), 8);
  evacuate(site, "a");
  site.submit(makeJob("b", [makeStep({ tasks: 16 })]));
  site.advance(3_900);
  t.is(site.find("a"), JobState.Completed);
  t.is(site.find("b"), JobState.Running);
  t.is(countStartsInA(site), 8);
  t.is(site.calls.stops, 0);
  evacuate(site);
  site.submit(makeJob("c", [makeStep({ tasks: 16 })]));
  site.advance(300);
  t.true(countStartsInA(site) > 8);
  t.deepEqual(site.checker.violations, []);
});

// Guards against a start that was decided before the request and sent after it.
test("starts whose placement is being stored when the request arrives go elsewhere", (t) => {
  const site = makeTwoDomains({ endpoints: 2, afterMs: LONG_RUN_MS });
  site.commitMs = 500;
  site.submit(makeJob("a", [makeStep({ tasks: 3 })]));
  site.submit(makeJob("g", [makeStep({ tasks: 10, gang: true })]));
  site.advance(600);
  t.true(site.cell.state.endpoints.get("e0")!.runs.size > 0);
  evacuate(site, "a");
  t.false(mayStillStart(site.cell.state, { domain: "a", now: site.now }));
  site.advance(3_000);
  t.is(countStartsInA(site), 0);
  t.is(site.checker.startsOn.get("e1"), 3);
  t.is(site.cell.state.endpoints.get("e0")!.runs.size, 0);
});

// Guards against a report that a domain takes no more starts while one is on its way.
test("an unanswered start counts as a run, and the request is not effective before it is settled", (t) => {
  const site = makeTwoDomains({ endpoints: 1, afterMs: LONG_RUN_MS });
  site.delayStarts({ byMs: 4_000 });
  site.submit(makeJob("a", [makeStep()]));
  site.advance(100);
  evacuate(site, "a");
  const mayStart = () =>
    mayStillStart(site.cell.state, { domain: "a", now: site.now });
  site.advance(3_500);
  t.true(mayStart());
  t.is(listDomainRuns(site.cell.state, "a").length, 1);
  site.advance(1_000);
  t.is(site.checker.starts, 1);
  t.false(mayStart());
  t.is(listDomainRuns(site.cell.state, "a").length, 1);
});

test("advice is not asked about endpoints of an evacuated domain, and gangs reserve nothing there", (t) => {
  const site = makeTwoDomains({ endpoints: 4, afterMs: 1_000 });
  evacuate(site, "a");
  const asked = new Set<string>();
  site.isEndpointAllowed = (id) => {
    asked.add(id);
    return true;
  };
  const queue = makeQueue({ advice: TICKETS });
  site.submit(makeJob("t", [makeStep({ tasks: 12 })], { queue }));
  site.submit(makeJob("g", [makeStep({ tasks: 16, gang: true })], { queue }));
  site.advance(8_000);
  t.deepEqual([...asked].sort(), ["e1", "e3"]);
  t.is(site.find("g"), JobState.Completed);
  t.is(countStartsInA(site), 0);
});

// Guards against a job that is refused for good, or accepted and late, since the only
// endpoints that hold it are not available now.
test("a job that fits only in an evacuated domain is refused with a time for a retry, or waits", (t) => {
  const site = makeTwoDomains({ endpoints: 2 });
  site.endpoints.get("e1")!.capacity = {
    milliCores: 1_000,
    memoryMb: 8_000,
    accelerators: 0,
  };
  site.cell.state.endpoints.delete("e1");
  site.applyEndpointList();
  site.advance(200);
  const demand = { milliCores: 6_000, memoryMb: 100, accelerators: 0 };
  const submit = (id: string, overrides = {}) =>
    site.cell.submit(
      makeJob(id, [makeStep({ demand, ...overrides })]),
      site.time,
    );
  t.is(submit("x", { after: [] }).admission, Admission.Accepted);
  evacuate(site, "a");
  const refused = submit("y");
  t.is(refused.admission, Admission.Refused);
  t.regex(refused.reason, /evacuated failure domains can hold step 0/);
  t.true(refused.retryAfterMs! > 0);
  const small = { milliCores: 500, memoryMb: 100, accelerators: 0 };
  t.is(
    submit("g", { demand: small, tasks: 3, gang: true }).admission,
    Admission.Refused,
  );
  t.is(submit("s", { demand: small }).admission, Admission.Accepted);
  site.advance(3_000);
  t.is(site.find("x"), JobState.Pending);
  evacuate(site);
  site.advance(2_000);
  t.is(site.find("x"), JobState.Completed);
});

test("with all domains evacuated everything waits, and an unknown domain changes nothing", (t) => {
  const site = makeTwoDomains({ endpoints: 2 });
  evacuate(site, "nowhere");
  site.submit(makeJob("a", [makeStep({ tasks: 2 })]));
  site.advance(1_500);
  t.is(site.find("a"), JobState.Completed);
  site.submit(makeJob("b", [makeStep({ tasks: 2 })]));
  evacuate(site, "a", "b");
  const { admission } = site.cell.submit(makeJob("c", [makeStep()]), site.time);
  t.is(admission, Admission.Refused);
  site.advance(2_000);
  t.is(site.checker.starts, 2);
  evacuate(site);
  site.advance(2_000);
  t.is(site.find("b"), JobState.Completed);
});

// Guards against a new owner that reports a domain as free of starts while one of the
// former owner is on its way.
test("after a change of owner a domain may get starts until each endpoint has answered", (t) => {
  const site = makeTwoDomains({ endpoints: 2 });
  site.endpoints.get("e0")!.isUnreachable = true;
  site.replaceOwner();
  evacuate(site, "a", "b");
  site.advance(200);
  const { state } = site.cell;
  t.true(mayStillStart(state, { domain: "a", now: site.now }));
  t.false(mayStillStart(state, { domain: "b", now: site.now }));
  site.advance(13_000);
  t.false(mayStillStart(state, { domain: "a", now: site.now }));
});

// As above, for the time in which the new owner does not know which endpoints the
// domain has.
test("a new owner without the list of endpoints takes each for one of the domain", (t) => {
  const site = makeTwoDomains({ endpoints: 2 });
  site.endpoints.get("e0")!.isUnreachable = true;
  site.replaceOwner({ isListLate: true });
  evacuate(site, "a");
  site.advance(200);
  const { state } = site.cell;
  t.true(mayStillStart(state, { domain: "a", now: site.now }));
  site.endpoints.get("e0")!.isUnreachable = false;
  site.advance(200);
  t.false(mayStillStart(state, { domain: "a", now: site.now }));
});
