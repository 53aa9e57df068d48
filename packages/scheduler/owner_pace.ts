import { Admission, type Cell, WaitReason } from "../cell/mod.ts";
import { EventCode, type EventLog } from "../events/mod.ts";
import type { JobSpec } from "../jobs/mod.ts";
import type { SubmitReply } from "../links/mod.ts";
import type { Metrics } from "../metrics/mod.ts";
import { PLAN_INTERVAL_MS, POLL_INTERVAL_MS } from "./constants.ts";
import { LoadShedder } from "./load_shedder.ts";
import { computePollInterval, LoopMonitor } from "./loop_monitor.ts";
import { LoadKind, OwnerLoad } from "./owner_load.ts";

/** The dependencies of an `OwnerPace`. */
export interface OwnerPaceParts {
  cell: Cell;
  log: EventLog;
  metrics: Metrics;
}

/**
 * How an owner goes about its work when its loop is late: it polls endpoints less often
 * and refuses submissions. Logs once a second what the owner did.
 */
export class OwnerPace {
  readonly load = new OwnerLoad();
  readonly #parts: OwnerPaceParts;
  readonly #monitor = new LoopMonitor();
  readonly #shedder = new LoadShedder();
  #pollIntervalMs = POLL_INTERVAL_MS;

  constructor(parts: OwnerPaceParts) {
    this.#parts = parts;
  }

  /** Shortest time between two polls of one endpoint, in milliseconds. */
  get pollIntervalMs(): number {
    return this.#pollIntervalMs;
  }

  /** The loop was late for most of the last seconds. */
  get isOverloaded(): boolean {
    return this.#monitor.isOverloaded();
  }

  /** Notes a tick that was due `PLAN_INTERVAL_MS` after the one before. */
  noteTick(now: number): void {
    const { metrics } = this.#parts;
    this.#monitor.noteTick(now, PLAN_INTERVAL_MS);
    const lagMs = this.#monitor.measureLag();
    const usualLagMs = this.#monitor.measureUsualLag();
    this.#pollIntervalMs = computePollInterval(usualLagMs);
    this.#shedder.noteLag(usualLagMs, now);
    this.load.note(LoadKind.Tick, lagMs);
    metrics.setGauge("loop_lag_ms", lagMs);
    metrics.setGauge("poll_interval_ms", this.#pollIntervalMs);
    metrics.setGauge("shed_level", this.#shedder.level);
    this.#recordLoad(now);
  }

  /** Refuses a submission that the owner is too late to decide about. */
  refuseIfLate(job: JobSpec, now: number): SubmitReply | undefined {
    const { cell, log, metrics } = this.#parts;
    const { priority, name } = job.queue;
    const isOverShare = cell.isBeyondShare(job);
    const refusal = this.#shedder.findRefusal({ priority, isOverShare }, now);
    if (!refusal) return undefined;
    const { level, retryAfterMs } = refusal;
    metrics.countEvent("jobs_shed", { queue: name });
    log.record(EventCode.JobShed, {
      subject: job.id,
      queue: name,
      organisation: job.organisation,
      isOverShare,
      level,
      usualLagMs: Math.round(this.#monitor.measureUsualLag()),
      retryAfterMs,
    });
    return {
      admission: Admission.Refused,
      reason: "the owner of the cell is late; other work goes first",
      retryAfterMs,
    };
  }

  #recordLoad(now: number): void {
    const report = this.load.collectReport(this.#parts.cell.state, now);
    if (!report) return;
    for (const reason of Object.values(WaitReason)) {
      const stages = this.load.waits?.stages[reason] ?? 0;
      this.#parts.metrics.setGauge("waiting_stages", stages, { reason });
    }
    this.#parts.log.record(EventCode.OwnerLoad, {
      ...report,
      usualLagMs: Math.round(this.#monitor.measureUsualLag()),
      pollIntervalMs: Math.round(this.#pollIntervalMs),
      shedLevel: Math.round(this.#shedder.level * 10) / 10,
    });
  }
}
