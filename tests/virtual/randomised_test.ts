import test from "ava";
import fc from "fast-check";
import { type Fault, FaultKind, faultsArbitrary } from "./faults.ts";
import { runSite } from "./run.ts";

const RUNS = 8;
const SEED = 20_261_204;

test("invariants hold through random faults", async (t) => {
  const property = fc.asyncProperty(
    fc.integer({ min: 0, max: 1_000_000 }),
    faultsArbitrary,
    async (siteSeed, faults) => {
      const report = await runSite(siteSeed, faults);
      if (report.faults.length > 0) {
        throw new Error(report.faults.slice(0, 10).join("\n"));
      }
    },
  );
  await t.notThrowsAsync(fc.assert(property, {
    seed: SEED,
    numRuns: RUNS,
    endOnFailure: true,
  }));
});

for (const kind of Object.values(FaultKind)) {
  test(`invariants hold through ${kind} twice`, async (t) => {
    const faults: Fault[] = [
      { at: 2_000, kind, lastsMs: 4_000, target: 31 },
      { at: 7_000, kind, lastsMs: 3_000, target: 17 },
    ];
    const report = await runSite(1, faults);
    t.deepEqual(report.faults, []);
  });
}
