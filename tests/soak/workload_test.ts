import test from "ava";
import { createRandom } from "./schedule.ts";
import {
  drawJob,
  findQueue,
  isAllowed,
  measureLongestWork,
} from "./series/workload.ts";

const ENDPOINTS = 33;
const STEPS = 3_000;
const ROOM = { milliCores: 32_000, memoryMb: 131_072 };

/** Sums the probabilities of at most `most` successes in `ENDPOINTS` draws. */
function computeTail(most: number, ratio: number): number {
  let sum = 0;
  let choices = 1;
  for (let k = 0; k <= most; k++) {
    sum += choices * ratio ** k * (1 - ratio) ** (ENDPOINTS - k);
    choices = choices * (ENDPOINTS - k) / (k + 1);
  }
  return sum;
}

// Guards against a policy of the stand-in that allows steps hardly any endpoint more often
// than chance, as the ids of jobs differ in few digits: such steps wait without a fault.
test("the policy allows as few endpoints as rarely as independent draws do", (t) => {
  const endpoints = Array.from({ length: ENDPOINTS }, (_, n) => `w${n}`);
  for (const queue of [0, 1, 2]) {
    const { good } = findQueue(String(queue)).advice;
    let fewCount = 0;
    let sum = 0;
    for (let n = 0; n < STEPS; n++) {
      const step = `${queue}${n.toString(16).padStart(15, "0")}.0.0`;
      const allowed = endpoints.filter((id) => isAllowed(step, id)).length;
      sum += allowed;
      if (allowed <= 2) fewCount++;
    }
    const expectedFew = STEPS * computeTail(2, good);
    // Three standard deviations of a count that is rare.
    t.true(fewCount <= expectedFew + 3 * Math.sqrt(expectedFew) + 1);
    t.true(Math.abs(sum / STEPS / ENDPOINTS - good) < 0.01);
  }
});

test("the longest work of a job is the sum of its steps on one endpoint", (t) => {
  const job = drawJob(createRandom(1), 1);
  const step = { ...job.steps[0], runMs: 4_000, memoryMb: 1_000, after: [] };
  const steps = [
    { ...step, tasks: 24, milliCores: 9_000 },
    { ...step, tasks: 1, milliCores: 40_000 },
  ];
  t.is(measureLongestWork({ ...job, steps }, ROOM), 8 * 4_000 + 4_000);
});
