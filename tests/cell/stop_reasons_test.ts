import test from "ava";
import {
  type Decision,
  DecisionKind,
  StopReason,
} from "../../packages/cell/mod.ts";
import { EndKind } from "../../packages/jobs/mod.ts";
import { CellSite, makeJob, makeStep } from "./cell_site.ts";

/** Collects the inputs of the decisions to stop runs of a site's owner. */
function recordStops(site: CellSite): Map<string, Decision["inputs"]> {
  const stops = new Map<string, Decision["inputs"]>();
  const { cell } = site;
  const collectOutput = cell.collectOutput.bind(cell);
  cell.collectOutput = () => {
    const output = collectOutput();
    for (const { kind, subject, inputs } of output.decisions) {
      if (kind === DecisionKind.Stopped) stops.set(subject, inputs);
    }
    return output;
  };
  return stops;
}

// Guards against an order to stop a run of which the log does not say who wanted it
// and on what ground, as 54,000 core-seconds of stopped gangs could not be explained.
test("each stop of a run states its reason and what it was based on", (t) => {
  const site = new CellSite({ endpoints: 4, afterMs: 60_000 });
  const stops = recordStops(site);
  site.advance(200);
  site.submit(makeJob("cancelled", [makeStep()]));
  site.advance(200);
  site.cancel("cancelled");
  const cancelled = stops.get("cancelled.0.0.0");
  t.is(cancelled?.reason, StopReason.Cancelled);

  site.submit(makeJob("upkeep", [makeStep()]));
  site.advance(200);
  const upkeepAt = site.findPlacement("upkeep.0.0.0");
  site.cell.stopRunsOn(upkeepAt.id, site.time);
  site.advance(50);
  t.is(stops.get("upkeep.0.0.0")?.reason, StopReason.Upkeep);

  const whole = { milliCores: 8_000, memoryMb: 100, accelerators: 0 };
  site.submit(makeJob("gang", [
    makeStep({ tasks: 2, gang: true, demand: whole }),
  ]));
  site.advance(300);
  const stalled = site.findPlacement("gang.0.0.1");
  stalled.getPercent = () => 40;
  site.advance(3_000);
  const member = stops.get("gang.0.0.1");
  t.is(member?.reason, StopReason.Stalled);
  t.is(member?.percent, 40);
  t.true(Number(member?.idleMs) >= 2_500);
  const other = stops.get("gang.0.0.0");
  t.is(other?.reason, StopReason.GangStopped);
  t.is(other?.why, "gang.0.0.1 makes no progress");
});

// Guards against the stop of a gang that does not name the member that ended it.
test("the stop of a gang names the member that failed", (t) => {
  const site = new CellSite({ endpoints: 2 });
  const stops = recordStops(site);
  site.advance(200);
  site.endRule = (run) =>
    run.task.endsWith("1")
      ? { afterMs: 300, endKind: EndKind.Failed }
      : { afterMs: 60_000, endKind: EndKind.Done };
  site.submit(makeJob("a", [makeStep({ tasks: 2, gang: true })]));
  site.advance(500);
  t.deepEqual([...stops.keys()], ["a.0.0.0"]);
  t.is(stops.get("a.0.0.0")?.reason, StopReason.GangStopped);
  t.is(stops.get("a.0.0.0")?.why, "a.0.0.1: ended failed");
});
