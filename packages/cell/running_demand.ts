import { addDemand, type Demand, makeZeroDemand } from "../jobs/mod.ts";
import type { Run } from "./types.ts";

const NO_RUNS: ReadonlySet<Run> = new Set();

/**
 * The runs of each organisation, and what they take in each service. Load: hundreds of
 * plans a second over thousands of runs; the sums change with each run instead.
 */
export class RunningDemand {
  /** By service, then by organisation. */
  readonly #totals = new Map<string, Map<string, Demand>>();
  /** The total that a run was added to: the service of an endpoint may change. */
  readonly #totalOfRun = new WeakMap<Run, Demand>();
  readonly #runs = new Map<string, Set<Run>>();

  /** Adds a run. */
  add(run: Run): void {
    const { service } = run.endpoint.info;
    const totals = this.#totals.get(service) ?? new Map<string, Demand>();
    this.#totals.set(service, totals);
    const total = totals.get(run.organisation) ?? makeZeroDemand();
    totals.set(run.organisation, total);
    addDemand(total, run.demand);
    this.#totalOfRun.set(run, total);
    const runs = this.#runs.get(run.organisation) ?? new Set();
    this.#runs.set(run.organisation, runs.add(run));
  }

  /** Removes a run; has no effect on one that was not added. */
  remove(run: Run): void {
    const total = this.#totalOfRun.get(run);
    if (!total) return;
    this.#totalOfRun.delete(run);
    addDemand(total, run.demand, -1);
    this.#runs.get(run.organisation)?.delete(run);
  }

  /** Lists the services with the total of each organisation that ever ran there. */
  listTotals(): ReadonlyMap<string, ReadonlyMap<string, Readonly<Demand>>> {
    return this.#totals;
  }

  /** Lists the runs of an organisation, in all services. */
  listRuns(organisation: string): ReadonlySet<Run> {
    return this.#runs.get(organisation) ?? NO_RUNS;
  }
}
