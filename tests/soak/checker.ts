import { match } from "ts-pattern";
import { parseTaskCrash } from "../standins/task_crash.ts";
import {
  type EndpointEvent,
  EndpointEventKind,
} from "../standins/endpoint_lifetime.ts";
import {
  CANCEL_MS,
  CONFIG_MS,
  CONTACT_MS,
  FINISH_MS,
  GIVE_UP_CRASHES,
  IDLE_MS,
  LOSS_SLACK_MS,
  MAX_STARTS_AFTER_CRASHES,
  RECOVER_MS,
  REVOKE_MS,
  STOP_GRACE_MS,
  VISIBLE_MS,
} from "./constants.ts";
import { findWaitingJobs } from "./find_waiting.ts";
import { KeyHistory } from "./key_history.ts";
import { RoomHistory } from "./room_history.ts";
import { findStep, listTasks, TaskHistory } from "./task_history.ts";
import {
  CallKind,
  Rule,
  type SoakCall,
  type SoakEvent,
  SoakEventKind,
  type SoakFaultEvent,
  type SoakJob,
  type Violation,
} from "./types.ts";

/** What callers know of a job. */
interface JobRecord {
  job: SoakJob;
  acceptedAt: number | undefined;
  /** Every call that submitted the job was refused. */
  isRefused: boolean;
  cancelSentAt: number | undefined;
  cancelledAt: number | undefined;
  isCompleted: boolean;
  lastState: string;
}

/** Statuses with which a job was not accepted and never runs. */
const REFUSED_STATUSES = new Set([429, 503]);

/**
 * Checks the promises to callers on a history of a soak. Events are observed in
 * the order of their times.
 */
export class SoakChecker {
  readonly violations: Violation[] = [];
  /** Number of events by kind. */
  readonly counts: Record<string, number> = {};
  readonly #rooms = new RoomHistory();
  readonly #jobs = new Map<string, JobRecord>();
  readonly #tasks = new TaskHistory();
  readonly #faults: SoakFaultEvent[] = [];
  readonly #keys = new KeyHistory();
  #healedAt: number | undefined;
  /** Time at which the last entry had recovered, which ends the load. */
  #recoveredAt: number | undefined;

  observe(event: SoakEvent): void {
    this.counts[event.kind] = (this.counts[event.kind] ?? 0) + 1;
    match(event)
      .with({ kind: SoakEventKind.Job }, ({ job }) => this.#addJob(job))
      .with({ kind: SoakEventKind.Call }, (call) => this.#observeCall(call))
      .with(
        { kind: SoakEventKind.Config },
        (config) => this.#keys.addConfig(config),
      )
      .with({ kind: SoakEventKind.Room }, (room) => this.#rooms.addRoom(room))
      .with({ kind: SoakEventKind.Fault }, (fault) => this.#faults.push(fault))
      .with({ kind: SoakEventKind.Healed }, ({ at }) => this.#healedAt = at)
      .with(
        { kind: SoakEventKind.Recovered },
        ({ at, entry }) => this.#checkRecovery(at, entry),
      )
      .with(
        { kind: EndpointEventKind.Started },
        (start) => this.#observeStart(start),
      )
      .with({ kind: EndpointEventKind.Ended }, (end) => this.#tasks.addEnd(end))
      .with(
        { kind: EndpointEventKind.Acknowledged },
        (end) => this.#observeAcknowledged(end),
      )
      .exhaustive();
  }

  /**
   * Lists the accepted jobs that are not shown as completed although they can be:
   * their tasks crash no endpoints.
   */
  listUnfinishedJobs(): string[] {
    return [...this.#jobs.values()]
      .filter((record) => !record.isCompleted && this.#canFinish(record))
      .map(({ job }) => job.id);
  }

  /** Checks what is known only at the end of the soak. */
  finish(now: number): void {
    for (const id of this.listUnfinishedJobs()) {
      const { lastState } = this.#jobs.get(id)!;
      this.#report(Rule.Unfinished, {
        at: now,
        subject: id,
        detail: `last shown as ${lastState || "nothing"}`,
      });
    }
    this.#checkWaiting(now);
    for (const { job, isRefused, acceptedAt } of this.#jobs.values()) {
      if (!isRefused || acceptedAt !== undefined) continue;
      const start = listTasks(job).flatMap(({ name }) =>
        this.#tasks.getTask(name).starts
      )[0];
      if (!start) {
        continue;
      }
      this.#report(Rule.NotRun, { ...start, subject: job.id, detail: "" });
    }
  }

  #checkWaiting(now: number): void {
    const loadEndedAt = this.#recoveredAt;
    if (loadEndedAt === undefined) return;
    const isOver = now >= loadEndedAt + FINISH_MS + IDLE_MS;
    if (!isOver) return;
    const jobs = new Map(
      [...this.#jobs.values()].filter((record) => this.#canFinish(record))
        .map(({ job }) => [job.id, job]),
    );
    const milliCores = this.#rooms.sumMilliCores();
    const waiting = findWaitingJobs(this.#tasks, {
      jobs,
      milliCores,
      loadEndedAt,
    });
    for (const { id } of waiting) {
      const detail = `nothing of it runs ${FINISH_MS} ms after the load`;
      this.#report(Rule.Waiting, { at: now, subject: id, detail });
    }
  }

  #canFinish({ job, acceptedAt, cancelSentAt }: JobRecord): boolean {
    return acceptedAt !== undefined && cancelSentAt === undefined &&
      !parseTaskCrash(job.payload);
  }

  #addJob(job: SoakJob): void {
    this.#jobs.set(job.id, {
      job,
      acceptedAt: undefined,
      isRefused: true,
      cancelSentAt: undefined,
      cancelledAt: undefined,
      isCompleted: false,
      lastState: "",
    });
  }

  #observeCall(call: SoakCall): void {
    const record = this.#jobs.get(call.job);
    if (!record) return;
    this.#checkKey(call);
    this.#checkAnswer(call);
    const isSuccess = call.status >= 200 && call.status < 300;
    if (call.call === CallKind.Submit) {
      if (isSuccess) record.acceptedAt ??= call.at;
      const isRefused = REFUSED_STATUSES.has(call.status) ||
        (call.status >= 400 && call.status < 500);
      if (!isRefused) record.isRefused = false;
    }
    if (call.call === CallKind.Cancel) {
      record.cancelSentAt ??= call.sentAt;
      if (isSuccess) record.cancelledAt ??= call.at;
    }
    if (call.call === CallKind.Find) this.#checkState(call, record);
  }

  #checkKey(call: SoakCall): void {
    const key = this.#keys.getState(call.key);
    const isSuccess = call.status >= 200 && call.status < 300;
    const ageMs = key ? call.sentAt - key.at : Infinity;
    const report = (detail: string) =>
      this.#report(Rule.Key, { at: call.at, subject: call.job, detail });
    if (!key?.isValid && isSuccess && ageMs > REVOKE_MS) {
      report(`${call.key} works at entry ${call.entry}, ${ageMs} ms too old`);
    }
    if (key?.isValid && call.status === 401 && ageMs > CONFIG_MS) {
      if (this.#isCalm(call)) {
        report(`${call.key} refused by entry ${call.entry}`);
      }
    }
  }

  #checkAnswer(call: SoakCall): void {
    const subject = call.job;
    if (call.status > 0 && !call.isWhole) {
      this.#report(Rule.Answer, { at: call.at, subject, detail: call.detail });
    }
    const durationMs = call.at - call.sentAt;
    const isLost = call.status === 0 && !call.hasTimedOut && !call.isRefused;
    if (!isLost || durationMs <= LOSS_SLACK_MS) return;
    const stop = this.#faults.find(({ stoppedEntry, at }) =>
      stoppedEntry === call.entry && call.at >= at &&
      call.sentAt <= at + STOP_GRACE_MS + 1_000
    );
    if (!stop || !this.#isCalm(call, { allowsStops: true })) return;
    this.#report(Rule.PlannedStop, {
      at: call.at,
      subject,
      detail: `entry ${call.entry} after ${durationMs} ms: ${call.detail}`,
    });
  }

  #checkState(call: SoakCall, record: JobRecord): void {
    const { job, acceptedAt, cancelSentAt } = record;
    const report = (rule: Rule, detail: string) =>
      this.#report(rule, { at: call.at, subject: job.id, detail });
    if (call.status === 410) {
      record.lastState = "unknown";
      const isVisible = acceptedAt !== undefined &&
        call.sentAt > acceptedAt + VISIBLE_MS;
      if (isVisible && cancelSentAt === undefined && this.#isCalm(call)) {
        report(Rule.Unknown, `entry ${call.entry}`);
      }
    }
    if (call.status !== 200) return;
    record.lastState = call.state;
    if (call.state === "completed") {
      const missing = listTasks(job).find(({ name }) =>
        !this.#tasks.hasDone(name, call.at)
      );
      if (missing) report(Rule.State, `completed before ${missing.name}`);
      record.isCompleted = true;
    }
    const isCancelled = call.state === "cancelled" &&
      cancelSentAt === undefined;
    const isFailed = call.state === "failed" &&
      !this.#mayGiveUp(job, call.at);
    if (isFailed || isCancelled) {
      report(Rule.State, `${call.state} without cause`);
    }
  }

  /** Returns whether a task of the job has crashed enough endpoints by then. */
  #mayGiveUp(job: SoakJob, by: number): boolean {
    if (!parseTaskCrash(job.payload)) return false;
    return listTasks(job).some(({ name }) =>
      this.#tasks.listCrashes(name, by).length >= GIVE_UP_CRASHES
    );
  }

  #observeStart(start: EndpointEvent): void {
    const task = this.#tasks.getTask(start.task);
    const report = (rule: Rule, detail: string) =>
      this.#report(rule, {
        at: start.at,
        subject: start.task,
        detail: `${describeRun(start)}; ${detail}`,
      });
    const [other] = task.running;
    if (other) report(Rule.AtOnce, `beside ${describeRun(other)}`);
    if (task.doneAt !== undefined && task.doneAt < start.at) {
      report(Rule.AfterEnd, `ended ${start.at - task.doneAt} ms before`);
    }
    this.#tasks.addStart(start);
    const record = this.#findJob(start.task);
    const step = record && findStep(record.job, start.task);
    if (!step || record.job.payload !== start.detail) {
      report(Rule.Unasked, start.detail);
      return;
    }
    this.#checkRoom(start, (detail) => report(Rule.Capacity, detail));
    const startsAfterCrashes = parseTaskCrash(start.detail)
      ? this.#tasks.countStartsAfterCrashes(start)
      : 0;
    if (startsAfterCrashes > MAX_STARTS_AFTER_CRASHES) {
      report(Rule.Crashes, `${startsAfterCrashes} starts after three crashes`);
    }
    const earlier = listTasks(record.job).find(({ name, step: number }) =>
      step.after.includes(number) && !this.#tasks.hasDone(name, start.at)
    );
    if (earlier) report(Rule.Order, `before ${earlier.name}`);
    const { cancelledAt } = record;
    const isTooLate = cancelledAt !== undefined &&
      start.at > cancelledAt + CANCEL_MS;
    const isCalm = this.#isCalm({ sentAt: cancelledAt ?? 0, at: start.at });
    if (isTooLate && isCalm && !start.isLate) {
      report(Rule.Cancelled, `cancelled ${start.at - cancelledAt} ms before`);
    }
  }

  #checkRoom(start: EndpointEvent, report: (detail: string) => void): void {
    const used = { milliCores: 0, memoryMb: 0 };
    for (const { task } of this.#tasks.listRuns(start.endpoint)) {
      const record = this.#findJob(task);
      const step = record && findStep(record.job, task);
      used.milliCores += step?.milliCores ?? 0;
      used.memoryMb += step?.memoryMb ?? 0;
    }
    if (this.#rooms.fits(used, start)) return;
    report(`${used.milliCores} mC, ${used.memoryMb} MB`);
  }

  #observeAcknowledged(event: EndpointEvent): void {
    const end = this.#tasks.acknowledge(event);
    if (!end) return;
    const { starts } = this.#tasks.getTask(event.task);
    const laterStart = starts.find(({ at }) => at > end.at);
    if (!laterStart) return;
    this.#report(Rule.AfterEnd, {
      at: event.at,
      subject: event.task,
      detail: `${describeRun(laterStart)} started ${laterStart.at - end.at}` +
        ` ms after the end of ${describeRun(end)}, acknowledged later`,
    });
  }

  #checkRecovery(at: number, entry: number): void {
    this.#recoveredAt = at;
    const recoveryMs = at - (this.#healedAt ?? at);
    if (recoveryMs <= RECOVER_MS) return;
    this.#report(Rule.Recovery, {
      at,
      subject: `entry ${entry}`,
      detail: `${recoveryMs} ms`,
    });
  }

  /**
   * Returns whether there was no fault from `CONTACT_MS` before the time span
   * until its end; with `allowsStops`, no fault apart from planned stops.
   */
  #isCalm(
    { sentAt, at }: { sentAt: number; at: number },
    { allowsStops = false }: { allowsStops?: boolean } = {},
  ): boolean {
    return !this.#faults.some((fault) =>
      !(allowsStops && fault.stoppedEntry >= 0) && fault.at <= at &&
      fault.endsAt >= sentAt - CONTACT_MS
    );
  }

  #findJob(task: string): JobRecord | undefined {
    return this.#jobs.get(task.split(".")[0]);
  }

  #report(rule: Rule, violation: Omit<Violation, "rule">): void {
    const { at, subject, detail } = violation;
    this.violations.push({ rule, at, subject, detail });
  }
}

function describeRun({ endpoint, born, run, isLate }: EndpointEvent): string {
  return `run ${run} on ${endpoint}/${born}${
    isLate ? " (carried out late)" : ""
  }`;
}
