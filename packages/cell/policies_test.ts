import test from "ava";
import { EndKind } from "../../packages/jobs/mod.ts";
import {
  CellSite,
  makeJob,
  makeQueue,
  makeStep,
} from "../../tests/cell/cell_site.ts";
import {
  AdmissionName,
  ChoiceName,
  EjectionName,
  OrderName,
  type PolicyNames,
} from "./policies.ts";
import { Admission } from "./types.ts";

const wholeEndpoint = { milliCores: 8_000, memoryMb: 100, accelerators: 0 };

function runOrder(order: OrderName): string[] {
  const site = new CellSite({
    endpoints: 1,
    afterMs: 200,
    policies: { order },
  });
  site.advance(200);
  const step = makeStep({ demand: wholeEndpoint, estimateMs: 200 });
  const late = makeQueue({ priority: 2, targetLatencyMs: 9_000 });
  const urgent = makeQueue({ priority: 0, targetLatencyMs: 300 });
  site.submit(makeJob("first", [step], { queue: late }));
  site.submit(makeJob("second", [step], { queue: late }));
  site.submit(makeJob("third", [step], { queue: urgent }));
  site.advance(2_000);
  return [...site.checker.done].map((task) => task.split(".")[0]);
}

test("urgent work overtakes earlier work in due order only", (t) => {
  const byArrival = ["first", "second", "third"];
  t.deepEqual(runOrder(OrderName.Arrival), byArrival);
  t.not(runOrder(OrderName.Due).indexOf("third"), 2);
});

function countEmptyEndpoints(choice: ChoiceName): number {
  const site = new CellSite({ afterMs: 5_000, policies: { choice } });
  site.advance(200);
  for (const [id, tasks] of [["a", 8], ["b", 1], ["c", 1]] as const) {
    site.submit(makeJob(id, [makeStep({ tasks })]));
    site.advance(300);
  }
  return [...site.endpoints.values()].filter(({ runs }) => runs.size === 0)
    .length;
}

test("small tasks: the fullest choice packs them on few endpoints", (t) => {
  t.is(countEmptyEndpoints(ChoiceName.Fullest), 2);
  t.true(countEmptyEndpoints(ChoiceName.First) <= 2);
});

function countAccepted(admission: AdmissionName): number {
  const site = new CellSite({ afterMs: 600, policies: { admission } });
  site.advance(300);
  const queue = makeQueue({ priority: 0, stretch: 1.5, targetLatencyMs: 250 });
  const answers = Array.from({ length: 400 }, (_, index) => {
    const job = makeJob(`j${index}`, [makeStep({ estimateMs: 600 })], {
      queue,
    });
    return site.cell.submit(job, site.time).admission;
  });
  return answers.filter((answer) => answer === Admission.Accepted).length;
}

test("overload: predicted admission refuses jobs, open accepts all", (t) => {
  t.true(countAccepted(AdmissionName.Predicted) < 250);
  t.is(countAccepted(AdmissionName.Open), 400);
});

function countFailedRuns(policies: Partial<PolicyNames>): number {
  const site = new CellSite({ endpoints: 4, policies });
  let failed = 0;
  site.endRule = (run) => {
    const isFaulty = run.endpoint === "e0";
    if (isFaulty) failed++;
    return { afterMs: 100, endKind: isFaulty ? EndKind.Failed : EndKind.Done };
  };
  site.advance(200);
  for (let index = 0; index < 60; index++) {
    site.submit(makeJob(`j${index}`, [makeStep({ demand: wholeEndpoint })]));
    site.advance(60);
  }
  return failed;
}

test("a failing endpoint: ejection at least halves the failed runs", (t) => {
  const withEjection = countFailedRuns({ ejection: EjectionName.Failures });
  const withoutEjection = countFailedRuns({ ejection: EjectionName.None });
  t.true(
    withEjection * 2 < withoutEjection,
    `${withEjection} and ${withoutEjection} failed runs`,
  );
});
