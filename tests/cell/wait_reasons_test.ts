import test from "ava";
import { WaitMonitor, WaitReason } from "../../packages/cell/mod.ts";
import { EndKind } from "../../packages/jobs/mod.ts";
import {
  CellSite,
  makeJob,
  makeQueue,
  makeStep,
  TICKETS,
} from "./cell_site.ts";

const LARGE = { milliCores: 8_000, memoryMb: 100, accelerators: 0 };
const queue = makeQueue({ advice: TICKETS });

/** Prepares a site in which the job "b" waits for the reason. */
const CASES: [WaitReason, (site: CellSite) => void][] = [
  [WaitReason.NoEndpoint, (site) => {
    site.submit(makeJob("a", [makeStep({ demand: LARGE })]));
    site.advance(200);
    site.submit(makeJob("b", [makeStep({ demand: LARGE })]));
    site.draining.add("e0");
    site.applyEndpointList();
  }],
  [WaitReason.Full, (site) => {
    site.submit(makeJob("a", [makeStep({ demand: LARGE })]));
    site.advance(200);
    site.submit(makeJob("b", [makeStep({ demand: LARGE })]));
  }],
  [WaitReason.Unusable, (site) => {
    for (const endpoint of site.cell.state.endpoints.values()) {
      endpoint.pausedUntil = Number.POSITIVE_INFINITY;
    }
    site.submit(makeJob("b", [makeStep()]));
  }],
  [WaitReason.Quota, (site) => {
    const cap = { milliCores: 10, memoryMb: 10, accelerators: 0 };
    site.cell.updateOrganisations([{ name: "norte", weight: 1, cap }]);
    site.submit(makeJob("b", [makeStep()]));
  }],
  [WaitReason.Gang, (site) => {
    site.submit(makeJob("b", [makeStep({ tasks: 20, gang: true })]));
  }],
  [WaitReason.AdviceInFlight, (site) => {
    site.adviceMs = 60_000;
    site.submit(makeJob("b", [makeStep()], { queue }));
  }],
  [WaitReason.AdviceQueue, (site) => {
    site.isEndpointAllowed = () => false;
    site.submit(makeJob("b", [makeStep()], { queue }));
  }],
  [WaitReason.Backoff, (site) => {
    site.endRule = () => ({ endKind: EndKind.Failed, afterMs: 1 });
    const patient = makeQueue({ attempts: 100 });
    site.submit(makeJob("b", [makeStep()], { queue: patient }));
    site.advance(8_000);
  }],
];

// Guards against work that waits beside free room while nothing tells what holds it.
for (const [reason, prepare] of CASES) {
  test(`a stage that waits is reported with its reason: ${reason}`, (t) => {
    const site = new CellSite({ endpoints: 1, afterMs: 600_000 });
    site.advance(300);
    prepare(site);
    site.advance(200);
    const monitor = new WaitMonitor();
    t.deepEqual(monitor.observe(site.cell.state, site.now).stages, {});
    site.advance(1_100);
    const report = monitor.observe(site.cell.state, site.now);
    t.deepEqual(report.stages, { [reason]: 1 });
    t.is(report.waiting, 1);
    t.is(report.longestMs, 1_100);
  });
}

// Guards against an owner that is late because it explains why hundreds of stages wait.
test("of many stages that wait, some are explained", (t) => {
  const site = new CellSite({ endpoints: 1 });
  site.advance(300);
  for (const endpoint of site.cell.state.endpoints.values()) {
    endpoint.pausedUntil = Number.POSITIVE_INFINITY;
  }
  for (let n = 0; n < 50; n++) site.submit(makeJob(`b${n}`, [makeStep()]));
  const monitor = new WaitMonitor();
  monitor.observe(site.cell.state, site.now);
  site.advance(1_100);
  const report = monitor.observe(site.cell.state, site.now);
  t.is(report.waiting, 50);
  t.deepEqual(report.stages, { [WaitReason.Unusable]: 30 });
});
