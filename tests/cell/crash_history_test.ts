import test from "ava";
import { type JournalRecord, RecordKind } from "../../packages/journal/mod.ts";
import { JobState } from "../../packages/jobs/mod.ts";
import { makeJob, makeStep } from "./cell_site.ts";
import { CrashSite, makeBadSite, Return } from "./crash_site.ts";

type CrashedRecord = Extract<JournalRecord, { kind: RecordKind.Crashed }>;

function listCrashed(site: CrashSite): CrashedRecord[] {
  return site.journal.filter((record) => record.kind === RecordKind.Crashed);
}

/** Records of earlier versions, by what they hold, and whether they give the job up. */
const EARLIER: [string, [boolean, boolean][], boolean][] = [
  ["one laid to the task", [[true, false]], false],
  ["two beside others", [[false, false], [false, false]], false],
  ["one beside others, one laid to it", [[false, false], [true, false]], true],
  ["three beside others", Array(3).fill([false, false]), true],
  ["four widespread", Array(4).fill([false, true]), false],
  ["five widespread", Array(5).fill([false, true]), true],
];

for (const [name, records, isGivenUp] of EARLIER) {
  // Guards against a job that an earlier version has shown as failed and that runs again,
  // or one that fails as this version takes over.
  test(`crashes that an earlier version recorded: ${name}: same verdict`, (t) => {
    const site = new CrashSite({ endpoints: 4, afterMs: 60_000 });
    site.advance(300);
    site.submit(makeJob("a", [makeStep()]));
    site.advance(300);
    for (const [index, [isAttributable, isWidespread]] of records.entries()) {
      site.journal.push({
        kind: RecordKind.Crashed,
        endpoint: `old${index}`,
        bornAt: 1,
        runs: [["a.0.0.0", index + 1]],
        isAttributable,
        isWidespread,
      });
    }
    site.replaceOwner();
    t.is(site.find("a") === JobState.Failed, isGivenUp);
  });
}

// Guards against records that an earlier version can't read as evidence of the same kind.
test("the record of a crash says what earlier versions read", (t) => {
  const site = makeBadSite({ returnsAs: Return.SameId });
  while (listCrashed(site).length === 0) site.advance(10);
  const [{ isAttributable, isWidespread, runs, chances }] = listCrashed(site);
  t.deepEqual(runs, [["bad.0.0.0", 1]]);
  t.true(isAttributable);
  t.false(isWidespread);
  t.is(chances?.length, 1);
});

for (const isCompacted of [false, true]) {
  // Guards against a new owner that does not know of the restarts before it, and blames
  // the tasks which were started before the next one.
  test(`restarts before a take-over, compacted: ${isCompacted}: the new owner knows the background rate`, (t) => {
    const site = new CrashSite({ endpoints: 12, afterMs: 60_000 });
    site.returnsAs = Return.SameId;
    site.backAfterMs = 1_000;
    site.advance(300);
    for (let n = 0; n < 10; n++) {
      site.crash(`e${n}`);
      site.advance(1_500);
    }
    if (isCompacted) site.takeSnapshot();
    site.replaceOwner();
    t.is(site.cell.state.recentCrashes.length, 10);
    site.advance(500);
    site.submit(makeJob("a", [makeStep()]));
    site.advance(200);
    site.crash(site.findPlacement("a.0.0.0").id);
    site.advance(3_000);
    const crashed = listCrashed(site).findLast(({ runs }) => runs.length > 0);
    // Ten events on twelve endpoints in 15 s, and 0.1 s of suspicion: about 0.006; one
    // event in 30 s, without the history, would give 0.0006.
    t.true(crashed!.chances![0] > 0.002, String(crashed!.chances));
  });
}
