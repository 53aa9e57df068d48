import test from "ava";
import {
  AdmissionName,
  ChoiceName,
  type Decision,
  DecisionKind,
  GangStartsName,
  HeadroomName,
  LeavingName,
  OrderName,
  PreemptionName,
  RunTimesName,
  SharesName,
  StallsName,
} from "../../packages/cell/mod.ts";
import { EndKind, JobState } from "../../packages/jobs/mod.ts";
import { SeededRandom } from "../../packages/base/mod.ts";
import {
  LearnedRunTimes,
  type PredictionOptions,
  type RunShape,
} from "../../packages/runtimes/mod.ts";
import { CellSite, makeJob, makeStep } from "./cell_site.ts";

const LEARNED = { run_times: RunTimesName.Learned };

const SHAPE: RunShape = {
  service: "desk",
  queue: "filings",
  organisation: "norte",
  tasks: 4,
  milliCores: 1_000,
  isGang: false,
  estimateMs: 500,
};

/** Lets the endpoints of a site run for `getMs` and report true progress. */
function setRunTimes(
  site: CellSite,
  getMs: (task: string, endpoint: string) => number,
): void {
  const durations = new Map<string, number>();
  site.endRule = ({ task, endpoint }) => {
    const afterMs = getMs(task, endpoint);
    durations.set(task, afterMs);
    return { afterMs, endKind: EndKind.Done };
  };
  for (const fake of site.endpoints.values()) {
    fake.getPercent = ({ task, endsAt }) => {
      const ms = durations.get(task) ?? 1;
      return Math.min(99, Math.floor(100 * (1 - (endsAt - site.now) / ms)));
    };
  }
}

/** Collects the ends of runs among the decisions of the present owner. */
function collectEnds({ cell }: CellSite): Decision[] {
  const ends: Decision[] = [];
  const collectOutput = cell.collectOutput.bind(cell);
  cell.collectOutput = () => {
    const output = collectOutput();
    const isEnd = ({ kind }: Decision) => kind === DecisionKind.Ended;
    ends.push(...output.decisions.filter(isEnd));
    return output;
  };
  return ends;
}

/** Runs jobs of four tasks, one after another. */
function runJobs(site: CellSite, count: number): void {
  for (let n = 0; n < count; n++) {
    site.submit(makeJob(`j${site.now}`, [makeStep({ tasks: 4 })]));
    site.advance(3_000);
  }
}

function predict(site: CellSite): number {
  return site.cell.state.runTimes.predict(SHAPE, {
    quantile: 0.5,
    speed: 1,
    now: site.now,
  });
}

// Guards against a model that no report of an endpoint reaches, or that one owner
// keeps to itself.
test("run times and speeds are learned from listings and survive a change of owner", (t) => {
  const site = new CellSite({ endpoints: 4, policies: LEARNED });
  setRunTimes(site, (_, endpoint) => endpoint === "e0" ? 2_000 : 1_000);
  const ends = collectEnds(site);
  const step = makeStep({ tasks: 4, maxPerEndpoint: 1 });
  for (let n = 0; n < 15; n++) {
    site.submit(makeJob(`j${n}`, [step]));
    site.advance(3_000);
  }
  t.is(ends.length, 60);
  const { actualMs, predictedMs, predictedP90Ms } = ends[59].inputs;
  t.true(Number(actualMs) >= 900 && Number(actualMs) <= 2_200);
  t.true(Number(predictedMs) > 800 && predictedP90Ms! >= predictedMs!);
  const [calibration] = site.cell.state.runTimes.listCalibrations();
  t.is(calibration.queue, "filings");
  t.is(calibration.runs, 60);
  const check = () => {
    const { runTimes } = site.cell.state;
    const predicted = predict(site);
    t.true(predicted > 900 && predicted < 1_250, `${predicted}`);
    const ratio = runTimes.getSpeed("e1", site.now) /
      runTimes.getSpeed("e0", site.now);
    t.true(ratio > 1.5 && ratio < 2.2, `${ratio}`);
  };
  check();
  site.takeSnapshot();
  site.replaceOwner();
  site.advance(500);
  check();
  t.deepEqual(site.checker.violations, []);
});

// Guards against learning from work that says nothing of run times or endpoints.
test("best-effort, long-running and resumed work is not learned from", (t) => {
  const site = new CellSite({ policies: LEARNED });
  setRunTimes(site, () => 3_000);
  const ends = collectEnds(site);
  site.submit(makeJob("a", [makeStep({ isFilling: true, tasks: 4 })]));
  site.submit(makeJob("b", [makeStep({ longRunning: true, tasks: 4 })]));
  site.advance(9_000);
  site.submit(makeJob("c", [makeStep({ tasks: 4 })]));
  for (const stage of site.cell.state.jobs.get("c")!.stages) {
    for (const task of stage.tasks) task.checkpoint = "10";
  }
  t.true(ends.length >= 8);
  site.advance(9_000);
  t.deepEqual(ends.filter(({ inputs }) => "actualMs" in inputs), []);
  t.deepEqual(site.cell.state.runTimes.listCalibrations(), []);
});

// Guards against changes of a deployment that has not enabled learning, and against
// an owner that cannot read the snapshot of an earlier version.
test("with stated run times nothing is added; a snapshot without a model loads", (t) => {
  const site = new CellSite();
  const ends = collectEnds(site);
  runJobs(site, 2);
  t.deepEqual(Object.keys(ends[0].inputs), ["run", "endpoint", "end"]);
  site.takeSnapshot();
  t.false("runTimes" in site.snapshot!);
  const learning = new CellSite({ policies: LEARNED });
  learning.snapshot = site.snapshot;
  learning.replaceOwner();
  t.is(learning.find([...site.cell.state.ended.keys()][0]), JobState.Completed);
  runJobs(learning, 1);
  t.true(predict(learning) > 0);
});

/** A model that is wrong by a factor in every respect. */
class WrongRunTimes extends LearnedRunTimes {
  readonly #factor: number;

  constructor(factor: number) {
    super({ unevenRatio: 2 });
    this.#factor = factor;
  }

  override predict(shape: RunShape, options: PredictionOptions): number {
    return super.predict(shape, options) * this.#factor;
  }

  override predictRest(
    shape: RunShape,
    options: PredictionOptions & { elapsedMs: number },
  ): number {
    return super.predictRest(shape, options) * this.#factor;
  }

  override getSpeed(endpoint: string): number {
    return endpoint === "e0" ? 1 / this.#factor : this.#factor;
  }

  override isUneven(): boolean {
    return true;
  }
}

// Guards against decisions about correctness that rest on the model.
test("with a model that is wrong by ten, invariants hold and jobs complete", (t) => {
  for (const factor of [10, 0.1]) {
    for (let seed = 1; seed <= 5; seed++) {
      const random = new SeededRandom(seed);
      const site = new CellSite({
        seed,
        policies: {
          run_times: RunTimesName.Learned,
          order: OrderName.Learned,
          choice: ChoiceName.Speed,
          admission: AdmissionName.Open,
          stalls: StallsName.Progress,
          gang_starts: GangStartsName.Repeat,
          leaving: LeavingName.Move,
          shares: SharesName.Dominant,
          headroom: HeadroomName.Learned,
          preemption: PreemptionName.Urgent,
        },
      });
      const setModel = () =>
        site.cell.state.runTimes = new WrongRunTimes(factor);
      setModel();
      site.lostStartRatio = 0.05;
      setRunTimes(site, () => 100 + random.drawInt(1_500));
      for (let n = 0; n < 20; n++) {
        site.submit(makeJob(`j${n}`, [
          makeStep({ tasks: 1 + random.drawInt(6) }),
          // The last step: the members of a gang on fake endpoints do not wait for
          // each other, as the checks of dependent steps take for granted.
          makeStep({
            tasks: 1 + random.drawInt(4),
            after: [0],
            gang: n % 3 === 0,
          }),
        ]));
        site.advance(random.drawInt(400));
        if (n === 10) {
          // Every acceptance is committed before the owner is replaced.
          site.advance(100);
          site.replaceOwner();
          setModel();
        }
      }
      site.lostStartRatio = 0;
      site.advance(90_000);
      t.deepEqual(site.checker.violations, [], `x${factor}, seed ${seed}`);
      for (let n = 0; n < 20; n++) {
        t.is(site.find(`j${n}`), JobState.Completed, `seed ${seed}, j${n}`);
      }
    }
  }
});
