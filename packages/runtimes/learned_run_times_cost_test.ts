import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import test from "ava";
import {
  LearnedRunTimes,
  MAX_DISTRIBUTIONS,
  MAX_ENDPOINTS,
  RunOutcome,
} from "./mod.ts";

const MAX_END_US = 20;
const MAX_PROGRESS_US = 5;
const MAX_BYTES = 2_000_000;

const LISTINGS = 10;

const BATCH = 2_000;

/** Begins a run; returns functions that observe its listings and its end. */
function beginRun(
  model: LearnedRunTimes,
  n: number,
): { observeListings: () => void; observeEnd: () => void } {
  const now = 1_000_000 + n * 10;
  const progress = model.beginRun({
    shape: {
      service: "desk",
      queue: `queue-${n % 3}`,
      organisation: `organisation-${n % 97}`,
      tasks: 4 ** (n % 4),
      milliCores: 1_000,
      isGang: false,
      estimateMs: 2_000,
    },
    step: `step-${n >> 4}`,
    endpoint: {
      id: `endpoint-${n % (MAX_ENDPOINTS + 100)}`,
      service: "desk",
      labels: [],
      bornAt: 1,
    },
    startedAt: now,
    clockOffset: 0,
    now,
  });
  const actualMs = 1_500 + (n * 7919) % 6_000;
  const observeListings = () => {
    for (let listing = 1; listing <= LISTINGS; listing++) {
      const at = now + actualMs * listing / (LISTINGS + 1);
      const percent = Math.floor(100 * listing / (LISTINGS + 1));
      model.observeProgress(progress, { percent, clockMs: at, now: at });
    }
  };
  const outcome = n % 10 === 0 ? RunOutcome.Censored : RunOutcome.Complete;
  const observeEnd = () => {
    model.observeEnd(progress, { outcome, now: now + actualMs });
  };
  return { observeListings, observeEnd };
}

function warmUp(): void {
  const model = new LearnedRunTimes({ unevenRatio: 2 });
  for (let n = 0; n < 5_000; n++) {
    const { observeListings, observeEnd } = beginRun(model, n);
    observeListings();
    observeEnd();
  }
}

// Guards against a model that takes the owner's processor or grows without bound.
test("a run costs under 20 us at its end, a listing under 5 us, the model under 2 MB", (t) => {
  const runs = 60_000;
  setFlagsFromString("--expose-gc");
  const collectGarbage = runInNewContext("gc") as () => void;
  const measure = () => {
    // The first collection may leave what it has just made unreachable.
    for (let n = 0; n < 3; n++) collectGarbage();
    const { heapUsed, arrayBuffers } = process.memoryUsage();
    return heapUsed + arrayBuffers;
  };
  warmUp();
  let model: LearnedRunTimes | undefined = new LearnedRunTimes({
    unevenRatio: 2,
  });
  // Processor time, as other processes may use the same cores.
  let listingUs = 0;
  let endsUs = 0;
  for (let batch = 0; batch < runs; batch += BATCH) {
    const begun: ReturnType<typeof beginRun>[] = [];
    for (let n = 0; n < BATCH; n++) begun.push(beginRun(model, batch + n));
    const startedAt = process.cpuUsage();
    for (const { observeListings } of begun) observeListings();
    const listedAt = process.cpuUsage(startedAt).user;
    for (const { observeEnd } of begun) observeEnd();
    listingUs += listedAt;
    endsUs += process.cpuUsage(startedAt).user - listedAt;
  }
  const snapshot = model.collectSnapshot();
  t.is(snapshot.distributions.length, MAX_DISTRIBUTIONS);
  t.true(snapshot.endpoints.length > MAX_ENDPOINTS / 2);
  const snapshotBytes = JSON.stringify(snapshot).length;
  const bytesBefore = measure();
  model = undefined;
  const bytes = bytesBefore - measure();
  const endUs = endsUs / runs;
  const progressUs = listingUs / runs / LISTINGS;
  t.log({ endUs, progressUs, bytes, snapshotBytes });
  t.true(endUs < MAX_END_US, `${endUs}`);
  t.true(progressUs < MAX_PROGRESS_US, `${progressUs}`);
  t.true(bytes < MAX_BYTES, `${bytes}`);
});
