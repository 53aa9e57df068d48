import test from "ava";
import { EventCode, EventLog } from "../../packages/events/mod.ts";
import { Metrics } from "../../packages/metrics/mod.ts";
import { EvacuationRole } from "../../packages/scheduler/mod.ts";
import { makeJob, makeStep } from "../cell/cell_site.ts";
import { makeTwoDomains } from "../cell/evacuation_site.ts";
import { EndpointIdRecords } from "./endpoint_id_records.ts";
import { MemoryStore, MemoryStoreState } from "./memory_store.ts";
import { ProcessClock, VirtualTime } from "./virtual_time.ts";

class ListLog extends EventLog {
  readonly lines: [EventCode, unknown, unknown][] = [];

  override record(code: EventCode, fields: Record<string, unknown> = {}) {
    this.lines.push([code, fields.subject, fields.runs]);
  }
}

// Guards against a domain that operators take for free while work runs there.
test("each step of an evacuation is logged, and a gauge counts the runs that remain", async (t) => {
  const site = makeTwoDomains({ endpoints: 2, afterMs: 60_000 });
  site.submit(makeJob("a", [makeStep({ tasks: 16 })]));
  site.advance(500);
  const time = new VirtualTime();
  const state = new MemoryStoreState();
  const clock = new ProcessClock(time, "e0");
  const log = new ListLog();
  const metrics = new Metrics();
  const role = new EvacuationRole({
    cell: site.cell,
    store: new MemoryStore(state, clock),
    records: new EndpointIdRecords(),
    clock,
    log,
    metrics,
    evacuationMs: 5_000,
    onChanged: () => {},
  });
  void role.run();
  await time.advance(500);
  const readGauge = async () => {
    role.updateReports();
    const text = await metrics.renderText();
    return /baobabhead_evacuation_runs\{domain="a"\} (\d+)/.exec(text)?.[1];
  };
  t.is(await readGauge(), undefined);
  state.revision++;
  state.put("evacuations/a", "{}", 0);
  await time.advance(500);
  t.is(await readGauge(), "8");
  site.cancel("a");
  site.advance(500);
  t.is(await readGauge(), "0");
  state.revision++;
  state.remove("evacuations/a");
  await time.advance(500);
  t.deepEqual(log.lines, [
    [EventCode.EvacuationRequested, "a", 8],
    [EventCode.EvacuationEffective, "a", 8],
    [EventCode.EvacuationWithdrawn, "a", 0],
  ]);
});
