import test from "ava";
import { EndKind, makeZeroDemand } from "../../packages/jobs/mod.ts";
import { CellSite, makeJob, makeStep } from "./cell_site.ts";

function addUp(site: CellSite): Record<string, number> {
  const milliCores: Record<string, number> = {};
  for (const { info, runs } of site.cell.state.endpoints.values()) {
    for (const { organisation, demand } of runs.values()) {
      const key = `${info.service} ${organisation}`;
      milliCores[key] = (milliCores[key] ?? 0) + demand.milliCores;
    }
  }
  return milliCores;
}

function listSums(site: CellSite): Record<string, number> {
  const milliCores: Record<string, number> = {};
  for (const [service, totals] of site.cell.state.running.listTotals()) {
    for (const [organisation, total] of totals) {
      if (total.milliCores === 0) continue;
      milliCores[`${service} ${organisation}`] = total.milliCores;
    }
  }
  return milliCores;
}

function countRuns(site: CellSite): number {
  return [...site.cell.state.endpoints.values()]
    .reduce((sum, { runs }) => sum + runs.size, 0);
}

// Shares are compared by sums that change with each run: one that is missed would put an
// organisation beyond its share for good.
test("sums of what organisations run match the runs, through lost starts, restarts and take-overs", (t) => {
  const site = new CellSite({ endpoints: 6, seed: 7 });
  site.lostStartRatio = 0.2;
  site.endRule = (_run, random) => ({
    afterMs: 100 + random.drawInt(1_500),
    endKind: random.drawFloat() < 0.1 ? EndKind.Failed : EndKind.Done,
  });
  for (let round = 0; round < 60; round++) {
    for (const organisation of ["norte", "sur"]) {
      const demand = { ...makeZeroDemand(), milliCores: 900, memoryMb: 200 };
      const steps = [makeStep({ tasks: 3, demand, gang: round % 4 === 0 })];
      site.submit(makeJob(`${organisation}${round}`, steps, { organisation }));
    }
    if (round % 20 === 10) site.cancel(`norte${round}`);
    if (round % 15 === 14) site.replaceOwner();
    const endpoint = site.endpoints.get(`e${round % 6}`);
    if (round % 11 === 5) endpoint?.restart(site.now, site.now);
    site.advance(200);
    t.deepEqual(listSums(site), addUp(site));
    const listed = ["norte", "sur"].reduce(
      (sum, name) => sum + site.cell.state.running.listRuns(name).size,
      0,
    );
    t.is(listed, countRuns(site));
  }
});
