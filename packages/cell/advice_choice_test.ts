import test from "ava";
import {
  CellSite,
  makeJob,
  makeQueue,
  makeStep,
} from "../../tests/cell/cell_site.ts";
import { EndKind, JobState } from "../jobs/mod.ts";

const WHOLE_ENDPOINT = { milliCores: 8_000, memoryMb: 100, accelerators: 0 };
const gatedQueue = makeQueue({
  name: "lookups",
  priority: 0,
  advice: { decideMs: 16, perEndpointMs: 0.25, validMs: 1_500 },
});

/** A cell of 400 endpoints; long work occupies 300 of them entirely. */
function startBusyCell(): CellSite {
  const site = new CellSite({ endpoints: 400, afterMs: 100 });
  site.pollIntervalMs = 20;
  site.endRule = ({ task }) => ({
    afterMs: task.startsWith("long") ? 60_000 : 100,
    endKind: EndKind.Done,
  });
  site.advance(300);
  const step = makeStep({ tasks: 300, demand: WHOLE_ENDPOINT });
  site.submit(makeJob("long", [step]));
  site.advance(300);
  return site;
}

test("a busy cell of hundreds of endpoints: one call finds room for urgent work", (t) => {
  const site = startBusyCell();
  const { advice: earlierCalls } = site.calls;
  for (let n = 0; n < 20; n++) {
    const step = makeStep({ tasks: 3 });
    site.submit(makeJob(`short${n}`, [step], { queue: gatedQueue }));
  }
  site.advance(300);
  t.is(site.calls.advice - earlierCalls, 20);
  for (let n = 0; n < 20; n++) {
    t.is(site.find(`short${n}`), JobState.Completed);
  }
});

test("steps that ask at the same time do not all ask about the same endpoints", (t) => {
  const site = startBusyCell();
  const named = new Set<string>();
  site.isEndpointAllowed = (endpoint) => !!named.add(endpoint);
  for (let n = 0; n < 10; n++) {
    site.submit(makeJob(`short${n}`, [makeStep()], { queue: gatedQueue }));
  }
  site.advance(300);
  t.true(named.size >= 90, `${named.size} endpoints named`);
});

test("work whose data lies in one rack asks about the endpoints of that rack", (t) => {
  const site = new CellSite({ endpoints: 400, afterMs: 100 });
  site.describeEndpoint = (id) => ({ labels: [], rack: `r${id.at(-1)}` });
  site.applyEndpointList();
  site.advance(300);
  const named: string[] = [];
  site.isEndpointAllowed = (endpoint) => named.push(endpoint) > 0;
  const step = makeStep({ tasks: 3, preferredRack: "r7" });
  site.submit(makeJob("near", [step], { queue: gatedQueue }));
  site.advance(300);
  t.is(site.find("near"), JobState.Completed);
  t.true(named.length <= 40 && named.every((id) => id.endsWith("7")));
  named.length = 0;
  const gang = makeStep({ tasks: 80, gang: true, rackLocal: true });
  site.submit(makeJob("tight", [gang], { queue: gatedQueue }));
  site.advance(300);
  t.is(site.find("tight"), JobState.Completed);
});

test("the calls of a wide gang are made by several idle entries at once", (t) => {
  const site = new CellSite({ endpoints: 200, afterMs: 100 });
  site.advance(300);
  site.adviceBacklogs = Array.from({ length: 40 }, () => site.now);
  // One endpoint in ten is allowed, and holds one task.
  site.isEndpointAllowed = (endpoint) => endpoint.endsWith("7");
  const queue = makeQueue({
    advice: { decideMs: 400, perEndpointMs: 7, validMs: 1_500 },
  });
  const step = makeStep({ tasks: 18, gang: true, demand: WHOLE_ENDPOINT });
  site.submit(makeJob("gang", [step], { queue }));
  // Two calls of 100 endpoints, one after the other, would take 2.2 s.
  site.advance(1_600);
  t.is(site.find("gang"), JobState.Completed);
});
