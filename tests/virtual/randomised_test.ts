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

test("a staged version is accepted after the store was set back", async (t) => {
  const report = await runSite(667_658, [
    { at: 152, kind: FaultKind.WithdrawKey, lastsMs: 3_383, target: 903 },
    { at: 690, kind: FaultKind.EndpointLeaving, lastsMs: 3_076, target: 278 },
    { at: 2_663, kind: FaultKind.CutPlatform, lastsMs: 6_010, target: 769 },
    { at: 3_014, kind: FaultKind.TaskNoise, lastsMs: 630, target: 800 },
    { at: 3_991, kind: FaultKind.TaskNoise, lastsMs: 2_262, target: 117 },
    {
      at: 4_699,
      kind: FaultKind.EndpointUnreachable,
      lastsMs: 624,
      target: 722,
    },
    { at: 5_394, kind: FaultKind.EndpointGone, lastsMs: 4_746, target: 865 },
    { at: 7_757, kind: FaultKind.RestoreConfig, lastsMs: 3_572, target: 914 },
    { at: 9_846, kind: FaultKind.Kill, lastsMs: 5_540, target: 656 },
    { at: 11_205, kind: FaultKind.Kill, lastsMs: 6_337, target: 753 },
    {
      at: 12_487,
      kind: FaultKind.EndpointUnreachable,
      lastsMs: 5_866,
      target: 959,
    },
    { at: 13_018, kind: FaultKind.StoreSlow, lastsMs: 3_643, target: 765 },
  ]);
  t.deepEqual(report.faults, []);
});
