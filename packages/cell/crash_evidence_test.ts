import test from "ava";
import { SeededRandom } from "../base/mod.ts";
import {
  CRASHING_TASK_ODDS,
  FALSE_POSITIVE_RATE,
  NEGLIGIBLE_CHANCE,
} from "./constants.ts";
import {
  type CrashBackground,
  estimateChance,
  isProvenCause,
  isStrongSuspect,
  sumEvidence,
} from "./crash_evidence.ts";
import type { CountedCrash } from "./types.ts";

/** One event per hour on one of 33 endpoints. */
const CALM: CrashBackground = {
  ratePerMs: 1 / 3_600_000 / 33,
  widthMs: 0,
  lostFraction: 0,
  otherSuspicion: 0,
};

/** A sixth of the endpoints is cut off silently and restarts, each second. */
const CUTS: CrashBackground = {
  ratePerMs: 0.09 / 1_000,
  widthMs: 1_400,
  lostFraction: 0.15,
  otherSuspicion: 0,
};

function makeCrashes(chances: readonly number[], clearedRun = 0) {
  const counted = chances.map((chance, index): CountedCrash => ({
    run: index + 1,
    endpoint: `e${index}`,
    bornAt: 1,
    chance,
    isSettled: true,
  }));
  return { counted, clearedRun, suspectedAt: 0, retryAt: 0 };
}

function isGivenUp(chances: readonly number[]): boolean {
  return isProvenCause(sumEvidence(makeCrashes(chances)));
}

// Guards against a bad task that crashes more than three endpoints on a calm day, beside
// up to 30 others that were started with it.
test("calm: two crashes suffice, and the first one makes a strong suspect", (t) => {
  const first = estimateChance(
    { ...CALM, otherSuspicion: 30 * CRASHING_TASK_ODDS },
    { isRightBefore: true },
  );
  const second = estimateChance(CALM, { isRightBefore: true });
  t.true(isStrongSuspect(makeCrashes([first])));
  t.false(isGivenUp([first]));
  t.true(isGivenUp([first, second]));
});

// Guards against healthy tasks that wait for trials, or fail, because endpoints restart.
test("cuts in series: no suspect is tried apart after three crashes, nor given up after five", (t) => {
  const chance = estimateChance(CUTS, { isRightBefore: true });
  t.false(isStrongSuspect(makeCrashes(Array(3).fill(chance))));
  t.false(isGivenUp(Array(5).fill(chance)));
});

// Guards against blame that grows with what speaks for another cause.
test("more restarts, a longer silence, more losses and other suspects each take blame away", (t) => {
  const fields = [
    "ratePerMs",
    "widthMs",
    "lostFraction",
    "otherSuspicion",
  ] as const;
  const base = { ...CUTS, lostFraction: 0.05, otherSuspicion: 0.01 };
  const least = estimateChance(base, { isRightBefore: true });
  for (const field of fields) {
    const more = { ...base, [field]: base[field] * 2 };
    t.true(estimateChance(more, { isRightBefore: true }) > least, field);
  }
  t.true(estimateChance(base, { isRightBefore: false }) > least);
  t.is(
    estimateChance({ ...base, lostFraction: 2 }, { isRightBefore: true }),
    1,
  );
});

test("a run that outlived its probation leaves evidence to the contrary", (t) => {
  const chances = [0.001];
  t.true(
    sumEvidence(makeCrashes(chances, 1)) < sumEvidence(makeCrashes(chances)),
  );
});

/**
 * Draws the starts of a harmless task until a run is outlived: each crashes with the
 * chance that its endpoint goes down within the time for which it is suspected.
 */
function drawHarmlessTask(
  random: SeededRandom,
  background: CrashBackground,
): number[] {
  const chance = estimateChance(background, { isRightBefore: true });
  const chances: number[] = [];
  while (random.drawFloat() < chance && chances.length < 50) {
    if (chance < NEGLIGIBLE_CHANCE) chances.push(chance);
  }
  return chances;
}

// Guards against jobs that fail more often than `FALSE_POSITIVE_RATE` for crashes that
// they did not cause, whatever the rate of restarts.
for (const ratePerS of [0.001, 0.02, 0.2, 1]) {
  test(`no more harmless tasks are given up than stated, at ${ratePerS} events a second`, (t) => {
    const random = new SeededRandom(1);
    const background = { ...CALM, ratePerMs: ratePerS / 1_000, widthMs: 500 };
    const tasks = 1_000_000;
    let givenUp = 0;
    for (let n = 0; n < tasks; n++) {
      if (isGivenUp(drawHarmlessTask(random, background))) givenUp++;
    }
    // The mean is 1 at most; 6 or more occur by chance in less than one of 1,000 draws.
    t.true(givenUp <= tasks * FALSE_POSITIVE_RATE + 4, String(givenUp));
  });
}
