import type { Demand } from "../../packages/jobs/mod.ts";
import { CellSite, makeJob, makeStep } from "./cell_site.ts";
import type { FakeRun } from "./fake_endpoint.ts";

/** Time from the start of a deadly task to the crash, in milliseconds. */
const CRASH_DELAY_MS = 10;

/** One crash of an endpoint. Times: milliseconds of the site's clock. */
export interface Crash {
  endpoint: string;
  at: number;
  /** The task that caused it; empty: none. */
  task: string;
  /** The tasks that ran there, the cause included. */
  lost: string[];
}

/** How a crashed endpoint comes back. */
export enum Return {
  SameId = "same_id",
  /** Another endpoint answers at its address, and the list has no record of it. */
  NewId = "new_id",
  Never = "never",
}

/** A cell whose endpoints crash: under deadly tasks, or when told to. */
export class CrashSite extends CellSite {
  /** Tells which tasks crash each endpoint that starts them. */
  isDeadly: (task: string) => boolean = () => false;
  /** Time until a crashed endpoint is back, in milliseconds. */
  backAfterMs = 3_000;
  returnsAs = Return.NewId;
  readonly crashes: Crash[] = [];
  /** Starts on endpoints, in order. */
  readonly startedRuns: { task: string; endpoint: string; at: number }[] = [];
  /** Tasks that an owner has suspected of a crash. */
  readonly suspected = new Set<string>();
  #pendingCrashes: { at: number; run: FakeRun }[] = [];
  #pendingReturns: { at: number; id: string; capacity: Demand }[] = [];
  #lastId = 0;

  /** Watches the starts; call it after `endRule` was set. */
  watchStarts(): void {
    const { endRule } = this;
    this.endRule = (run, random) => {
      this.startedRuns.push({
        task: run.task,
        endpoint: run.endpoint,
        at: this.now,
      });
      if (this.isDeadly(run.task)) {
        this.#pendingCrashes.push({ at: this.now + CRASH_DELAY_MS, run });
      }
      return endRule(run, random);
    };
  }

  override advance(ms: number): void {
    const until = this.now + ms;
    while (this.now < until) {
      super.advance(10);
      this.#crashAndReturn();
      for (const task of this.cell.state.suspects.keys()) {
        this.suspected.add(task);
      }
    }
  }

  /** Crashes an endpoint: its runs are gone, and it answers nothing for a while. */
  crash(id: string, task = ""): void {
    const fake = this.endpoints.get(id);
    if (!fake || fake.isUnreachable) return;
    const lost = [...fake.runs.keys()];
    this.crashes.push({ endpoint: id, at: this.now, task, lost });
    fake.restart(this.now);
    fake.isUnreachable = true;
    this.#pendingReturns.push({
      at: this.now + this.backAfterMs,
      id,
      capacity: fake.capacity,
    });
  }

  /** Counts the endpoints that a task has crashed. */
  countCrashes(task: string): number {
    return this.crashes.filter((crash) => crash.task === task).length;
  }

  #crashAndReturn(): void {
    const due = this.#pendingCrashes.filter(({ at }) => at <= this.now);
    this.#pendingCrashes = this.#pendingCrashes.filter(({ at }) =>
      at > this.now
    );
    for (const { run } of due) {
      const isStarted =
        this.endpoints.get(run.endpoint)?.runs.get(run.task) === run;
      if (isStarted) this.crash(run.endpoint, run.task);
    }
    const back = this.#pendingReturns.filter(({ at }) => at <= this.now);
    this.#pendingReturns = this.#pendingReturns.filter(({ at }) =>
      at > this.now
    );
    for (const { id, capacity } of back) this.#return(id, capacity);
  }

  #return(id: string, capacity: Demand): void {
    if (this.returnsAs === Return.SameId) {
      const fake = this.endpoints.get(id)!;
      fake.restart(this.now);
      fake.isUnreachable = false;
      return this.applyEndpointList();
    }
    this.endpoints.delete(id);
    if (this.returnsAs === Return.NewId) {
      this.addEndpoint(`n${this.#lastId++}`, capacity);
    }
    this.applyEndpointList();
    if (this.returnsAs === Return.Never) return;
    const endpoint = this.cell.state.endpoints.get(id);
    if (endpoint) this.cell.noteReplacement(endpoint, this.time);
  }
}

/** Makes a site whose job `bad` has one task, which crashes each endpoint. */
export function makeBadSite(
  options: { returnsAs: Return; backAfterMs?: number },
): CrashSite {
  const site = new CrashSite({ endpoints: 12, afterMs: 400 });
  site.returnsAs = options.returnsAs;
  site.backAfterMs = options.backAfterMs ?? site.backAfterMs;
  site.isDeadly = (task) => task === "bad.0.0.0";
  site.watchStarts();
  site.advance(300);
  site.submit(makeJob("bad", [makeStep()]));
  return site;
}
