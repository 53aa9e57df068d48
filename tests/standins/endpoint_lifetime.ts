/** Longest lease of the runs of an endpoint, in milliseconds. */
const MAX_LEASE_MS = 6_000;
/** Maximum number of ended runs in one answer. */
const MAX_LISTED_ENDS = 500;

/**
 * What the clock of an endpoint shows when a lifetime begins, in milliseconds. The
 * platform promises no value.
 */
export const CLOCK_AT_START_MS = 2_000_000;

/** Body of a call to an endpoint; which fields are set depends on the call. */
export interface OrderBody {
  task: string;
  run: number;
  task_spec?: string;
  fence?: number;
  until_ms?: number;
  last_seen?: number;
  wait_ms?: number;
  ticket?: string;
  percent?: number;
}

/** An ended run: number of the end, task, run, kind of end, checkpoint. */
type WireEndedRun = [number, string, number, string, string];

/** What an endpoint records about its runs. */
export enum EndpointEventKind {
  Started = "started",
  Ended = "ended",
  /** The owner has acknowledged the end of a run. */
  Acknowledged = "acknowledged",
}

/** One event of the run of a task on an endpoint. */
export interface EndpointEvent {
  kind: EndpointEventKind;
  /** Unix milliseconds. */
  at: number;
  endpoint: string;
  /** Start of the endpoint's lifetime, in Unix milliseconds. */
  born: number;
  task: string;
  run: number;
  /** How the run ended; for a start, the payload of the job. */
  detail: string;
  /** The endpoint carried out the start later than it arrived. */
  isLate: boolean;
}

/** A run in progress; `pace` is in percent, times in Unix milliseconds. */
export interface EndpointRun {
  task: string;
  run: number;
  startedAt: number;
  endsAt: number;
  endKind: string;
  pace: number;
}

/** The dependencies and settings of an `EndpointLifetime`. */
export interface LifetimeParts {
  endpoint: string;
  /** Unix milliseconds. */
  born: number;
  /** Speed of the endpoint's clock. */
  clockRate: number;
  onEvent: (event: EndpointEvent) => void;
}

/**
 * One lifetime of an endpoint: its runs, leases and fences, all of which a restart
 * forgets. `now` is in Unix milliseconds.
 */
export class EndpointLifetime {
  readonly #parts: LifetimeParts;
  /** Runs in progress by task and run. */
  readonly runs = new Map<string, EndpointRun>();
  /** Ended runs that the owner has not yet acknowledged. */
  #endedRuns: WireEndedRun[] = [];
  /** Unix time of each end in `#endedRuns` by its number, in milliseconds. */
  readonly #endTimes = new Map<number, number>();
  /** Highest run of each task that was stopped or ended. */
  readonly #refusedRuns = new Map<string, number>();
  /** End of the lease of all runs, on the endpoint's clock. */
  #leaseUntil = 0;
  /** Unix time of the last end of a lease, in milliseconds. */
  #lapsedAt = 0;
  /** Highest fencing token of a call so far. */
  fence = 0;
  /** Number of the last ended run. */
  lastEndNumber = 0;

  constructor(parts: LifetimeParts) {
    this.#parts = parts;
  }

  get born(): number {
    return this.#parts.born;
  }

  /** Returns the time on the endpoint's clock. */
  measureClock(now: number): number {
    return CLOCK_AT_START_MS +
      Math.floor((now - this.born) * this.#parts.clockRate);
  }

  /** Ends the runs that are done, stopped or without a lease by this time. */
  endDueRuns(now: number): void {
    const leaseEndsAt = this.born +
      (this.#leaseUntil - CLOCK_AT_START_MS) / this.#parts.clockRate;
    if (leaseEndsAt <= now) this.#lapsedAt = leaseEndsAt;
    for (const run of [...this.runs.values()]) {
      const endsAt = Math.min(run.endsAt, leaseEndsAt);
      if (endsAt > now) continue;
      const endKind = run.endsAt <= leaseEndsAt ? run.endKind : "lapsed";
      this.runs.delete(formatRun(run));
      this.#refuseRuns(run);
      const number = ++this.lastEndNumber;
      this.#endedRuns.push([number, run.task, run.run, endKind, ""]);
      this.#endTimes.set(number, endsAt);
      this.#record(EndpointEventKind.Ended, run, {
        at: endsAt,
        detail: endKind,
      });
    }
  }

  /** Ends all runs at once, as a crash does; nothing lists these ends. */
  crash(now: number): void {
    this.endDueRuns(now);
    for (const run of this.runs.values()) {
      const detail = "crashed";
      this.#record(EndpointEventKind.Ended, run, { at: now, detail });
    }
    this.runs.clear();
  }

  /** Starts a run; returns the reason if it is refused. */
  startRun(
    body: OrderBody,
    options: { now: number; durationMs: number; isLate: boolean },
  ): string | undefined {
    const { now, durationMs, isLate } = options;
    if ((body.until_ms ?? 0) <= this.measureClock(now)) return "late";
    this.extendLease(body.until_ms ?? 0, now);
    if (this.runs.has(formatRun(body))) return undefined;
    if (body.run <= (this.#refusedRuns.get(body.task) ?? 0)) return "old";
    const { task, run } = body;
    this.runs.set(formatRun(body), {
      task,
      run,
      startedAt: now,
      endsAt: now + durationMs,
      endKind: "done",
      pace: 100,
    });
    const detail = body.task_spec ?? "";
    this.#record(EndpointEventKind.Started, body, { at: now, detail, isLate });
    return undefined;
  }

  /** Lets a run end as stopped at `endsAt`. */
  stopRun(body: OrderBody, endsAt: number): void {
    const run = this.runs.get(formatRun(body));
    this.#refuseRuns(body);
    if (!run || run.endsAt <= endsAt) return;
    run.endsAt = endsAt;
    run.endKind = "stopped";
  }

  setPace(body: OrderBody): void {
    const run = this.runs.get(formatRun(body));
    if (run) run.pace = body.percent ?? 100;
  }

  /** Extends the lease of all runs; `until` is on the endpoint's clock. */
  extendLease(until: number, now: number): void {
    const limit = this.measureClock(now) + MAX_LEASE_MS;
    this.#leaseUntil = Math.max(this.#leaseUntil, Math.min(until, limit));
  }

  /**
   * Forgets the ends up to this number. An end counts as acknowledged unless the
   * lease has expired since.
   */
  acknowledge(acknowledgedEnd: number, now: number): void {
    const dropped = this.#endedRuns.filter(([number]) =>
      number <= acknowledgedEnd
    );
    this.#endedRuns = this.#endedRuns.filter(([number]) =>
      number > acknowledgedEnd
    );
    for (const [number, task, run, detail] of dropped) {
      const endedAt = this.#endTimes.get(number) ?? 0;
      this.#endTimes.delete(number);
      if (this.#lapsedAt > endedAt) continue;
      const kind = EndpointEventKind.Acknowledged;
      this.#record(kind, { task, run }, { at: now, detail });
    }
  }

  /** Returns the answer to a poll; `measureRun` overrides progress and gauge. */
  listRuns(
    now: number,
    measureRun?: (task: string) => [percent: number, gauge: number],
  ): unknown {
    return {
      born: this.born,
      clock_ms: this.measureClock(now),
      running: [...this.runs.values()].map((run) => [
        run.task,
        run.run,
        "",
        ...measureRun?.(run.task) ?? [measurePercent(run, now), 0],
      ]),
      ended: this.#endedRuns.slice(0, MAX_LISTED_ENDS),
    };
  }

  #refuseRuns({ task, run }: { task: string; run: number }): void {
    const refusedRun = this.#refusedRuns.get(task) ?? 0;
    this.#refusedRuns.set(task, Math.max(refusedRun, run));
  }

  #record(
    kind: EndpointEventKind,
    { task, run }: { task: string; run: number },
    event: { at: number; detail: string; isLate?: boolean },
  ): void {
    const { endpoint, born, onEvent } = this.#parts;
    onEvent({ kind, endpoint, born, task, run, isLate: false, ...event });
  }
}

function measurePercent(
  { startedAt, endsAt }: EndpointRun,
  now: number,
): number {
  const durationMs = Math.max(1, endsAt - startedAt);
  return Math.floor(100 * (now - startedAt) / durationMs);
}

function formatRun({ task, run }: { task: string; run: number }): string {
  return `${task}/${run}`;
}
