import type { IncomingMessage, Server, ServerResponse } from "node:http";
import { listen, sendJson, sleep } from "./http_server.ts";

/** Longest lease of the runs of an endpoint, in milliseconds. */
const MAX_LEASE_MS = 6_000;
/** Interval at which ends of runs are recorded, in milliseconds. */
const TICK_MS = 20;
/** Maximum number of ended runs in one answer. */
const MAX_LISTED_ENDS = 500;

/** Body of a call to an endpoint; which fields are set depends on the call. */
interface OrderBody {
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

/** A run in progress; `pace` is in percent, `endsAt` in Unix milliseconds. */
interface Run {
  task: string;
  run: number;
  startedAt: number;
  endsAt: number;
  endKind: string;
  pace: number;
}

/** State of one lifetime of an endpoint; a restart forgets it. */
interface Lifetime {
  born: number;
  runs: Map<string, Run>;
  /** Ended runs that the owner has not yet acknowledged. */
  endedRuns: WireEndedRun[];
  /** Unix time of each end in `endedRuns` by its number, in milliseconds. */
  endTimes: Map<number, number>;
  lastEndNumber: number;
  /** Highest run of each task that was stopped or ended. */
  refusedRuns: Map<string, number>;
  fence: number;
  /** End of the lease of all runs, on the endpoint's clock. */
  leaseUntil: number;
  /** Unix time of the last end of a lease, in milliseconds. */
  lapsedAt: number;
}

/** Stand-in for one of the platform's endpoints. */
export class EndpointStandIn {
  readonly id: string;
  /** Task of each run that was started, in order. */
  readonly starts: string[] = [];
  #lifetime = createLifetime(Date.now());
  #server: Server | undefined;
  #address = { host: "", port: 0 };
  #timer: NodeJS.Timeout | undefined;
  /** Duration of each run, in milliseconds. */
  runMs = 100;
  /** Returns the duration of a task's run, in milliseconds. */
  measureDuration: (task: string) => number = () => this.runMs;
  /**
   * Returns the progress in percent and the gauge of a task's run; by default
   * the progress is the elapsed part of the run's duration.
   */
  measureRun: ((task: string) => [percent: number, gauge: number]) | undefined;
  /** Refuses starts without the ticket of the policy service. */
  needsTicket = false;
  /** Time until a stopped run ends, in milliseconds. */
  stopMs = 0;
  /** Speed of the endpoint's clock. */
  clockRate = 1;
  /** Answers no call, and carries each out after this time, in ms. */
  lateMs = 0;
  /** Carries out and answers calls of this lifetime once this is false again. */
  isStalled = false;
  /** Called with each event of a run. */
  onEvent: (event: EndpointEvent) => void = () => {};

  constructor(id: string) {
    this.id = id;
  }

  /** Start of the endpoint's lifetime, in Unix milliseconds. */
  get born(): number {
    return this.#lifetime.born;
  }

  /** Runs in progress by task and run. */
  get runs(): ReadonlyMap<string, { pace: number }> {
    return this.#lifetime.runs;
  }

  async start(address: { host: string; port: number }): Promise<void> {
    this.#address = address;
    this.#server = await listen(
      address,
      (request, response, text) => this.#receive(request, response, text),
    );
    this.#timer = setInterval(() => this.endDueRuns(Date.now()), TICK_MS);
  }

  stop(): void {
    clearInterval(this.#timer);
    this.#server?.close();
    this.#server?.closeAllConnections();
  }

  /** Ends all runs at once and closes all connections, as a crash would. */
  crash(): void {
    const now = Date.now();
    this.endDueRuns(now);
    this.stop();
    for (const run of this.#lifetime.runs.values()) {
      this.#record(EndpointEventKind.Ended, run, {
        at: now,
        detail: "crashed",
      });
    }
    this.#lifetime = createLifetime(now);
  }

  /** Starts the next lifetime, under the same id and at the same address. */
  async restart(): Promise<void> {
    this.#lifetime = createLifetime(Date.now());
    await this.start(this.#address);
  }

  /** Ends the runs that are done, stopped or without a lease by this time. */
  endDueRuns(now: number): void {
    const lifetime = this.#lifetime;
    const leaseEndsAt = lifetime.born + lifetime.leaseUntil / this.clockRate;
    if (leaseEndsAt <= now) lifetime.lapsedAt = leaseEndsAt;
    for (const run of [...lifetime.runs.values()]) {
      const endsAt = Math.min(run.endsAt, leaseEndsAt);
      if (endsAt > now) continue;
      const endKind = run.endsAt <= leaseEndsAt ? run.endKind : "lapsed";
      lifetime.runs.delete(formatRun(run));
      refuseRuns(lifetime, run);
      const number = ++lifetime.lastEndNumber;
      lifetime.endedRuns.push([number, run.task, run.run, endKind, ""]);
      lifetime.endTimes.set(number, endsAt);
      this.#record(EndpointEventKind.Ended, run, {
        at: endsAt,
        detail: endKind,
      });
    }
  }

  async #receive(
    request: IncomingMessage,
    response: ServerResponse,
    text: string,
  ): Promise<void> {
    const body = JSON.parse(text) as OrderBody;
    const call = (request.url ?? "").split("/").at(-1) ?? "";
    const expectedId = request.headers["expect-instance"] ?? this.id;
    const { lateMs } = this;
    if (lateMs > 0) {
      await sleep(lateMs);
      if (this.#server?.listening && expectedId === this.id) {
        this.#carryOut(call, body, { isLate: true });
      }
      response.destroy();
      return;
    }
    const lifetime = this.#lifetime;
    const isLate = this.isStalled;
    while (this.isStalled) await sleep(TICK_MS);
    if (lifetime !== this.#lifetime) return;
    if (expectedId !== this.id) {
      return sendJson(response, {}, { status: 421 });
    }
    const reason = this.#carryOut(call, body, { isLate });
    if (reason) {
      const refusal = { clock_ms: this.#measureClock(), reason };
      return sendJson(response, refusal, { status: 409 });
    }
    if (call !== "hold") {
      return sendJson(response, { clock_ms: this.#measureClock() });
    }
    await this.#waitForRunEnd(lifetime, body.wait_ms ?? 0);
    if (lifetime === this.#lifetime) sendJson(response, this.#listRuns());
  }

  #measureClock(): number {
    return Math.floor((Date.now() - this.born) * this.clockRate);
  }

  /** Returns the reason if the call is refused. */
  #carryOut(
    call: string,
    body: OrderBody,
    options: { isLate: boolean },
  ): string | undefined {
    const lifetime = this.#lifetime;
    this.endDueRuns(Date.now());
    if ((body.fence ?? 0) < lifetime.fence) return "fence";
    lifetime.fence = body.fence ?? 0;
    if (call === "run-start") return this.#startRun(body, options);
    if (call === "run-stop") this.#stopRun(body);
    if (call === "pace") this.#setPace(body);
    if (call === "hold") {
      this.#extendLease(body.until_ms ?? 0);
      this.#acknowledge(body.last_seen ?? 0);
    }
    return undefined;
  }

  #startRun(
    body: OrderBody,
    { isLate }: { isLate: boolean },
  ): string | undefined {
    const lifetime = this.#lifetime;
    if (this.needsTicket && body.ticket !== `t-${this.id}`) return "ticket";
    if ((body.until_ms ?? 0) <= this.#measureClock()) return "late";
    this.#extendLease(body.until_ms ?? 0);
    if (lifetime.runs.has(formatRun(body))) return undefined;
    if (body.run <= (lifetime.refusedRuns.get(body.task) ?? 0)) return "old";
    this.starts.push(body.task);
    const now = Date.now();
    const { task, run } = body;
    const endsAt = now + this.measureDuration(task);
    lifetime.runs.set(formatRun(body), {
      task,
      run,
      startedAt: now,
      endsAt,
      endKind: "done",
      pace: 100,
    });
    const detail = body.task_spec ?? "";
    this.#record(EndpointEventKind.Started, body, { at: now, detail, isLate });
    return undefined;
  }

  #stopRun(body: OrderBody): void {
    const run = this.#lifetime.runs.get(formatRun(body));
    refuseRuns(this.#lifetime, body);
    const endsAt = Date.now() + this.stopMs;
    if (!run || run.endsAt <= endsAt) return;
    run.endsAt = endsAt;
    run.endKind = "stopped";
    this.endDueRuns(Date.now());
  }

  #setPace(body: OrderBody): void {
    const run = this.#lifetime.runs.get(formatRun(body));
    if (run) run.pace = body.percent ?? 100;
  }

  #extendLease(until: number): void {
    const limit = this.#measureClock() + MAX_LEASE_MS;
    const lifetime = this.#lifetime;
    lifetime.leaseUntil = Math.max(lifetime.leaseUntil, Math.min(until, limit));
  }

  /**
   * Forgets the ends up to this number. An end counts as acknowledged unless the
   * lease has expired since.
   */
  #acknowledge(acknowledgedEnd: number): void {
    const lifetime = this.#lifetime;
    const [kept, dropped] = [true, false].map((isKept) =>
      lifetime.endedRuns.filter(([number]) =>
        number > acknowledgedEnd === isKept
      )
    );
    lifetime.endedRuns = kept;
    for (const [number, task, run, detail] of dropped) {
      const endedAt = lifetime.endTimes.get(number) ?? 0;
      lifetime.endTimes.delete(number);
      if (lifetime.lapsedAt > endedAt) continue;
      this.#record(EndpointEventKind.Acknowledged, { task, run }, {
        at: Date.now(),
        detail,
      });
    }
  }

  /** Waits until a run ends or `waitMs` passes. */
  async #waitForRunEnd(lifetime: Lifetime, waitMs: number): Promise<void> {
    const deadline = Date.now() + waitMs;
    const initialEndNumber = lifetime.lastEndNumber;
    do {
      this.endDueRuns(Date.now());
      const hasEnded = lifetime.lastEndNumber > initialEndNumber;
      if (hasEnded || Date.now() >= deadline) return;
      await sleep(5);
    } while (this.#server?.listening && lifetime === this.#lifetime);
  }

  #record(
    kind: EndpointEventKind,
    { task, run }: { task: string; run: number },
    event: { at: number; detail: string; isLate?: boolean },
  ): void {
    const { born } = this;
    this.onEvent({
      kind,
      endpoint: this.id,
      born,
      task,
      run,
      isLate: false,
      ...event,
    });
  }

  #listRuns(): unknown {
    const { born, runs, endedRuns } = this.#lifetime;
    return {
      born,
      clock_ms: this.#measureClock(),
      running: [...runs.values()].map((run) => [
        run.task,
        run.run,
        "",
        ...this.measureRun?.(run.task) ?? [measurePercent(run, Date.now()), 0],
      ]),
      ended: endedRuns.slice(0, MAX_LISTED_ENDS),
    };
  }
}

function createLifetime(born: number): Lifetime {
  return {
    born,
    runs: new Map(),
    endedRuns: [],
    endTimes: new Map(),
    lastEndNumber: 0,
    refusedRuns: new Map(),
    fence: 0,
    leaseUntil: 0,
    lapsedAt: 0,
  };
}

function measurePercent({ startedAt, endsAt }: Run, now: number): number {
  const durationMs = Math.max(1, endsAt - startedAt);
  return Math.floor(100 * (now - startedAt) / durationMs);
}

function formatRun({ task, run }: { task: string; run: number }): string {
  return `${task}/${run}`;
}

function refuseRuns(
  lifetime: Lifetime,
  { task, run }: { task: string; run: number },
): void {
  const refusedRun = lifetime.refusedRuns.get(task) ?? 0;
  lifetime.refusedRuns.set(task, Math.max(refusedRun, run));
}
