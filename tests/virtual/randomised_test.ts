import test from "ava";
import fc from "fast-check";
import { type Fault, FaultKind, faultsArbitrary } from "./faults.ts";
import { runSite } from "./run_site.ts";

const RANDOM_RUNS = 8;
const SEED = 20_261_204;

test("invariants hold under random faults", async (t) => {
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
    numRuns: RANDOM_RUNS,
    endOnFailure: true,
  }));
});

for (const kind of Object.values(FaultKind)) {
  test(`invariants hold under two faults of kind ${kind}`, async (t) => {
    const faults: Fault[] = [
      { at: 2_000, kind, lastsMs: 4_000, target: 31 },
      { at: 7_000, kind, lastsMs: 3_000, target: 17 },
    ];
    const report = await runSite(1, faults);
    t.deepEqual(report.faults, []);
  });
}

test("a staged configuration version is accepted after the store was restored", async (t) => {
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

test("every endpoint is served after an entry was drained before it had joined", async (t) => {
  const report = await runSite(141_518, [
    { at: 4, kind: FaultKind.WithdrawKey, lastsMs: 6_412, target: 3 },
    { at: 6, kind: FaultKind.Drain, lastsMs: 8_000, target: 8 },
    { at: 12, kind: FaultKind.LoseAnswers, lastsMs: 6_117, target: 8 },
    { at: 2_935, kind: FaultKind.CutDomains, lastsMs: 100, target: 9 },
    { at: 3_583, kind: FaultKind.Kill, lastsMs: 4_209, target: 362 },
    { at: 3_894, kind: FaultKind.Kill, lastsMs: 672, target: 998 },
    { at: 7_482, kind: FaultKind.KillAndReplace, lastsMs: 4_930, target: 165 },
    { at: 8_190, kind: FaultKind.StoreDown, lastsMs: 4_775, target: 848 },
    { at: 12_426, kind: FaultKind.Drain, lastsMs: 5_485, target: 87 },
    { at: 13_998, kind: FaultKind.RestoreConfig, lastsMs: 1_733, target: 580 },
  ]);
  t.deepEqual(report.faults, []);
});

test("a former owner's tasks count towards limits until the VM list is read", async (t) => {
  const report = await runSite(91_955, [
    { at: 4_797, kind: FaultKind.TaskNoise, lastsMs: 348, target: 376 },
    { at: 6_170, kind: FaultKind.RestoreConfig, lastsMs: 1_792, target: 937 },
    { at: 9_381, kind: FaultKind.EndpointGone, lastsMs: 3_268, target: 586 },
    { at: 10_626, kind: FaultKind.KillAndReplace, lastsMs: 3_300, target: 593 },
    { at: 10_797, kind: FaultKind.LateEffects, lastsMs: 6_746, target: 78 },
    { at: 10_929, kind: FaultKind.StoreDown, lastsMs: 2_335, target: 374 },
    { at: 10_967, kind: FaultKind.TaskNoise, lastsMs: 7_348, target: 229 },
    { at: 11_105, kind: FaultKind.Freeze, lastsMs: 553, target: 43 },
    { at: 11_170, kind: FaultKind.CutPlatform, lastsMs: 3_154, target: 710 },
    { at: 13_655, kind: FaultKind.LoseAnswers, lastsMs: 4_681, target: 782 },
  ]);
  t.deepEqual(report.faults, []);
});

test("a key counts as revoked only when no change in flight contains it", async (t) => {
  const report = await runSite(584_376, [
    { at: 737, kind: FaultKind.KillAndReplace, lastsMs: 2_055, target: 567 },
    { at: 1_673, kind: FaultKind.WithdrawKey, lastsMs: 7_497, target: 890 },
    { at: 8_061, kind: FaultKind.Freeze, lastsMs: 2_903, target: 259 },
    { at: 8_170, kind: FaultKind.StoreSlow, lastsMs: 1_784, target: 363 },
    { at: 9_393, kind: FaultKind.RacingChanges, lastsMs: 6_958, target: 739 },
    { at: 9_736, kind: FaultKind.WithdrawKey, lastsMs: 5_753, target: 83 },
    { at: 12_648, kind: FaultKind.Kill, lastsMs: 538, target: 846 },
    { at: 13_100, kind: FaultKind.KillAndReplace, lastsMs: 5_836, target: 273 },
    { at: 13_839, kind: FaultKind.TaskNoise, lastsMs: 6_777, target: 709 },
  ]);
  t.deepEqual(report.faults, []);
});
