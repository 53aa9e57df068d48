import test from "ava";
import { SeededRandom } from "../base/mod.ts";
import {
  LearnedRunTimes,
  RunOutcome,
  type RunProgress,
  type RunShape,
} from "./mod.ts";

const SHAPE: RunShape = {
  service: "desk",
  queue: "sweep",
  organisation: "norte",
  tasks: 25,
  milliCores: 1_000,
  isGang: false,
  estimateMs: 2_000,
};

const SPREAD = 0.5;

/** Endpoints that run tasks, and a model that observes listings of them. */
class Fleet {
  readonly model = new LearnedRunTimes({ unevenRatio: 2 });
  readonly random: SeededRandom;
  now = 1_000_000;
  /** Number of runs so far, by queue. */
  readonly #runs = new Map<string, number>();

  constructor(seed = 1) {
    this.random = new SeededRandom(seed);
  }

  /** Draws a value of the normal distribution. */
  drawNormal(): number {
    const radius = Math.sqrt(-2 * Math.log(1 - this.random.drawFloat()));
    return radius * Math.cos(2 * Math.PI * this.random.drawFloat());
  }

  /** Draws a run time relative to its median: 3 in 100 runs take 7 times as long. */
  drawRatio(): number {
    const tail = this.random.drawFloat() < 0.03 ? 7 : 1;
    return tail * Math.exp(SPREAD * this.drawNormal());
  }

  begin(
    endpoint: string,
    shape: Partial<RunShape> = {},
    { labels = [], isResumed = false }: {
      labels?: string[];
      isResumed?: boolean;
    } = {},
  ): RunProgress {
    const { queue = SHAPE.queue } = shape;
    const runs = this.#runs.get(queue) ?? 0;
    this.#runs.set(queue, runs + 1);
    return this.model.beginRun({
      shape: { ...SHAPE, ...shape },
      step: `${queue}-${Math.floor(runs / 25)}`,
      endpoint: { id: endpoint, service: "desk", labels, bornAt: 1 },
      startedAt: isResumed ? undefined : this.now,
      clockOffset: 5_000,
      now: this.now,
    });
  }

  list(progress: RunProgress, percent: number, now = this.now): void {
    const listed = { percent: Math.floor(percent), clockMs: now + 5_000, now };
    this.model.observeProgress(progress, listed);
  }

  /** Runs one task with a listing every 300 ms. */
  run(endpoint: string, actualMs: number, shape: Partial<RunShape> = {}): void {
    const progress = this.begin(endpoint, shape);
    const start = this.now;
    for (let ms = 300; ms < actualMs; ms += 300) {
      this.list(progress, 100 * ms / actualMs, start + ms);
    }
    const now = start + actualMs;
    this.model.observeEnd(progress, { outcome: RunOutcome.Complete, now });
  }

  getSpeed(endpoint: string): number {
    return this.model.getSpeed(endpoint, this.now);
  }
}

/** Returns the share of pairs of which the first is lower. */
function countOrdered(lower: number[], higher: number[]): number {
  const ordered = lower.flatMap((a) => higher.filter((b) => a < b)).length;
  return ordered / (lower.length * higher.length);
}

function shuffle<T>(values: T[], random: SeededRandom): T[] {
  for (let n = values.length - 1; n > 0; n--) {
    const other = random.drawInt(n + 1);
    [values[n], values[other]] = [values[other], values[n]];
  }
  return values;
}

// Guards against estimates that count stopped runs as finished or ignore them.
test("quantiles are recovered within 10% after 200 runs, 30% of them censored", (t) => {
  // Exponential distributions, whose quantiles are known in closed form. Run times and
  // stops are independent: evenly spread pairs (golden ratio), without the sampling
  // error of 200 random ones, which alone is 10% at the 90th percentile.
  const draw = (q: number) => -3_000 * Math.log(1 - q);
  for (let seed = 1; seed <= 5; seed++) {
    const fleet = new Fleet(seed);
    const shift = fleet.random.drawFloat();
    const runs = Array.from({ length: 200 }, (_, n) => ({
      actualMs: draw((n + 0.5) / 200),
      // 7/3 of the mean run time: 30% of the runs are stopped before their end.
      stopMs: draw((n * 0.618034 + shift) % 1) * 7 / 3,
    }));
    let censored = 0;
    for (const { actualMs, stopMs } of shuffle(runs, fleet.random)) {
      const progress = fleet.begin("e0");
      const isCensored = stopMs < actualMs;
      if (isCensored) censored++;
      fleet.model.observeEnd(progress, {
        outcome: isCensored ? RunOutcome.Censored : RunOutcome.Complete,
        now: fleet.now + Math.min(actualMs, stopMs),
      });
    }
    t.true(censored >= 55 && censored <= 65, `${censored}`);
    for (const quantile of [0.25, 0.5, 0.75, 0.9]) {
      const options = { quantile, speed: 1, now: fleet.now };
      const predicted = fleet.model.predict(SHAPE, options);
      const error = predicted / draw(quantile) - 1;
      t.true(Math.abs(error) <= 0.1, `seed ${seed}, ${quantile}: ${error}`);
    }
  }
});

// Guards against a run that counts as nearly done because it is late already.
test("a run beyond its 95th percentile has a remaining time", (t) => {
  const fleet = new Fleet();
  for (let n = 0; n < 200; n++) fleet.run("e0", 2_000 * fleet.drawRatio());
  const options = { quantile: 0.5, speed: 1, now: fleet.now };
  const rest = (elapsedMs: number) =>
    fleet.model.predictRest(SHAPE, { ...options, elapsedMs });
  const p95 = fleet.model.predict(SHAPE, { ...options, quantile: 0.95 });
  t.true(rest(p95) > 500);
  t.true(rest(100_000) > 10_000);
  // Work of the same run at its median age: less remains than was predicted at first.
  t.true(rest(1_000) < fleet.model.predict(SHAPE, options));
});

/** Draws five runs on each of 90 endpoints; returns their speeds, sorted, by class. */
function learnThreeSpeeds(seed: number): { classes: number[][]; fleet: Fleet } {
  const speeds = [0.6, 1, 1.6];
  const fleet = new Fleet(seed);
  const endpoints = Array.from({ length: 90 }, (_, n) => ({
    id: `e${n}`,
    speed: speeds[n % 3],
  }));
  for (let run = 0; run < 5; run++) {
    for (const { id, speed } of shuffle([...endpoints], fleet.random)) {
      fleet.run(id, 3_000 * fleet.drawRatio() / speed);
      fleet.now += 20;
    }
    fleet.now += 5_000;
  }
  const classes = speeds.map((speed) =>
    endpoints.filter((endpoint) => endpoint.speed === speed)
      .map(({ id }) => fleet.getSpeed(id)).sort((a, b) => a - b)
  );
  return { classes, fleet };
}

// Guards against urgent work on slow endpoints because all count as equal.
test("services with speeds 0.6, 1.0 and 1.6 are uneven after 5 runs on each endpoint", (t) => {
  for (const seed of [1, 2, 3, 4, 5]) {
    const { classes: [slow, usual, fast], fleet } = learnThreeSpeeds(seed);
    // Few runs are drawn towards 1.
    t.true(slow[15] > 0.5 && slow[15] < 0.8, `${slow[15]}`);
    t.true(usual[15] > 0.85 && usual[15] < 1.15, `${usual[15]}`);
    t.true(fast[15] > 1.3 && fast[15] < 1.8, `${fast[15]}`);
    t.true(fleet.model.isUneven("desk", fleet.now));
  }
});

// Guards against a slow endpoint that is taken for a faster one. Single runs spread by
// 0.5, which leaves 0.22 after five: single endpoints may stay out of order.
test("speeds 0.6, 1.0 and 1.6 are told apart for every endpoint after 5 runs on each", (t) => {
  for (const seed of [1, 2, 3, 4, 5]) {
    const { classes: [slow, usual, fast] } = learnThreeSpeeds(seed);
    t.is(countOrdered(slow, fast), 1, "0.6 and 1.6");
    t.is(countOrdered(slow, usual), 1, "0.6 and 1.0");
    t.is(countOrdered(usual, fast), 1, "1.0 and 1.6");
  }
});

// Guards against even endpoints that the noise of their runs makes look uneven.
test("even endpoints are not uneven, whatever the estimates", (t) => {
  for (const factor of [0.1, 1, 10]) {
    const fleet = new Fleet(3);
    for (let run = 0; run < 10; run++) {
      for (let n = 0; n < 40; n++) {
        // The two queues share the endpoints unequally.
        const isBulk = fleet.random.drawFloat() < n / 40;
        const queue = isBulk ? "bulk" : "sweep";
        const bias = factor * (isBulk ? 4 : 1);
        fleet.run(`e${n}`, 2_000 * bias * fleet.drawRatio(), { queue });
        fleet.now += 20;
      }
      fleet.now += 1_000;
      t.false(fleet.model.isUneven("desk", fleet.now), `x${factor}, ${run}`);
    }
    for (let n = 0; n < 40; n++) {
      const speed = fleet.getSpeed(`e${n}`);
      t.true(speed > 0.7 && speed < 1.4, `x${factor}, e${n}: ${speed}`);
    }
  }
});

// Guards against work on an endpoint that has become slow, and against an endpoint
// that counts as slow after it has recovered.
test("a slowdown of factor 5 shows within 2 s of progress and clears again", (t) => {
  for (const actualMs of [2_300, 5_300, 20_000, 60_000]) {
    const fleet = new Fleet();
    const runs = [0, 1, 2].map(() => ({
      progress: fleet.begin("e0"),
      percent: 0,
    }));
    const advance = (ms: number, speed: number) => {
      for (let elapsed = 0; elapsed < ms; elapsed += 250) {
        fleet.now += 250;
        for (const run of runs) {
          run.percent += 250 * 100 / actualMs * speed;
          fleet.list(run.progress, run.percent);
        }
      }
    };
    advance(actualMs * 0.25, 1);
    t.is(fleet.getSpeed("e0"), 1);
    advance(2_000, 0.2);
    const slow = fleet.getSpeed("e0");
    t.true(slow > 0.05 && slow < 0.4, `${slow}`);
    advance(2_000, 1);
    t.true(fleet.getSpeed("e0") > 0.7);
  }
});

// Guards against endpoints that count as slow because their gang waits for another one.
test("the members of a gang that wait for the slowest one are not slow", (t) => {
  const fleet = new Fleet();
  for (let gang = 0; gang < 8; gang++) {
    const members = Array.from({ length: 10 }, (_, n) => ({
      id: `e${n}`,
      progress: fleet.begin(`e${n}`, { isGang: true, queue: "bulk" }),
      actualMs: 5_000 * Math.exp(0.3 * fleet.drawNormal()) * (n === 0 ? 3 : 1),
    }));
    const start = fleet.now;
    const endMs = Math.max(...members.map(({ actualMs }) => actualMs));
    for (let ms = 300; ms < endMs; ms += 300) {
      fleet.now = start + ms;
      for (const { progress, actualMs } of members) {
        fleet.list(progress, Math.min(99, 100 * ms / actualMs));
      }
    }
    fleet.now = start + endMs;
    for (const [n, { progress }] of members.entries()) {
      fleet.model.observeEnd(progress, {
        outcome: n === 0 ? RunOutcome.Complete : RunOutcome.Ignored,
        gangEndpoints: members.map(({ id }) => id),
        now: fleet.now,
      });
    }
  }
  const slow = fleet.getSpeed("e0");
  t.true(slow < 0.6, `${slow}`);
  for (let n = 1; n < 10; n++) {
    const speed = fleet.getSpeed(`e${n}`);
    t.true(speed > 0.75 && speed < 1.3, `${speed}`);
  }
});

// Guards against the speed of a former lifetime, and an owner that forgets everything.
test("a snapshot restores speeds and run times; a new lifetime has the prior", (t) => {
  const fleet = new Fleet();
  for (let run = 0; run < 12; run++) {
    for (let n = 0; n < 10; n++) {
      fleet.run(`e${n}`, 6_000 * fleet.drawRatio() / (n < 3 ? 0.4 : 1));
    }
    fleet.now += 2_000;
  }
  const { model, now } = fleet;
  const stored = JSON.parse(JSON.stringify(model.collectSnapshot()));
  const restored = new LearnedRunTimes({ unevenRatio: 2 });
  restored.restore(stored, 500);
  const options = { quantile: 0.9, speed: 1 };
  const before = model.predict(SHAPE, { ...options, now });
  const after = restored.predict(SHAPE, { ...options, now: 500 });
  t.true(Math.abs(after / before - 1) < 0.05, `${before} ${after}`);
  t.true(
    Math.abs(restored.getSpeed("e0", 500) / fleet.getSpeed("e0") - 1) < 0.05,
  );
  t.true(restored.getSpeed("e0", 500) < 0.6);
  const lifetime = { id: "e0", service: "desk", labels: [] };
  restored.beginLifetime({ ...lifetime, bornAt: 1 });
  t.true(restored.getSpeed("e0", 500) < 0.6);
  restored.beginLifetime({ ...lifetime, bornAt: 2 });
  t.is(restored.getSpeed("e0", 500), 1);
});

// Guards against an endpoint that counts as slow because one of two runs hangs.
test("one run without progress beside another one is no slowdown", (t) => {
  const fleet = new Fleet();
  const [running, hanging] = [fleet.begin("e0"), fleet.begin("e0")];
  for (let percent = 5; percent < 90; percent += 5) {
    fleet.now += 300;
    fleet.list(running, percent);
    fleet.list(hanging, Math.min(40, percent));
  }
  t.is(fleet.getSpeed("e0"), 1);
});

// Guards against endpoints that count as slow because their runs load checkpoints, and
// against new endpoints that count as usual although all others like them are fast.
test("loading a checkpoint does not count; new endpoints have the speed of those with their labels", (t) => {
  const fleet = new Fleet();
  for (let run = 0; run < 10; run++) {
    for (let n = 0; n < 24; n++) {
      const labels = n < 8 ? ["fast"] : [];
      const resumed = { labels, isResumed: n % 2 === 0 };
      const progress = fleet.begin(`e${n}`, {}, resumed);
      const start = fleet.now;
      const actualMs = 3_000 * fleet.drawRatio() / (n < 8 ? 2 : 1);
      // Resumed runs load their checkpoint at 30% first.
      const [loadMs, first] = resumed.isResumed ? [1_500, 30] : [0, 0];
      const endMs = loadMs + actualMs * (1 - first / 100);
      for (let ms = 250; ms < endMs; ms += 250) {
        const percent = first + 100 * Math.max(0, ms - loadMs) / actualMs;
        fleet.list(progress, percent, start + ms);
      }
      const now = start + endMs;
      fleet.model.observeEnd(progress, { outcome: RunOutcome.Complete, now });
      fleet.now += 100;
    }
  }
  const mean = (ids: number[]) =>
    ids.reduce((sum, n) => sum + fleet.getSpeed(`e${n}`), 0) / ids.length;
  const ratio = mean([8, 10, 12, 14, 16, 18, 20, 22]) /
    mean([9, 11, 13, 15, 17, 19, 21, 23]);
  t.true(ratio > 0.85 && ratio < 1.15, `${ratio}`);
  const lifetime = { id: "new", service: "desk", bornAt: 1 };
  fleet.model.beginLifetime({ ...lifetime, labels: ["fast"] });
  t.true(fleet.getSpeed("new") > 1.3, `${fleet.getSpeed("new")}`);
});
