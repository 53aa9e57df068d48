import { computeHash } from "../../packages/base/mod.ts";
import { type Demand, EndKind, type JobSpec } from "../../packages/jobs/mod.ts";
import type {
  AdviceService,
  StartRequest,
} from "../../packages/scheduler/mod.ts";
import type { FakeEndpoint, FakeRun } from "../cell/fake_endpoint.ts";
import { CrashRecord } from "./crash_record.ts";
import { FakeAdviceService, TicketOffice } from "./fake_advice.ts";
import { FakeGangs } from "./fake_gangs.ts";
import { OwnerSite } from "./owner_site.ts";
import type { ProcessClock } from "./virtual_time.ts";

/** Silence after which the platform drops the record of an endpoint, in ms. */
const RECORD_EXPIRES_MS = 4_500;

/** Longest time until an endpoint's record shows its new room, in ms. */
const HEARTBEAT_MS = 1_500;

/** Longest time from a start to the crash that its task causes, in ms. */
const MAX_CRASH_DELAY_MS = 10;

/** Shortest and longest time until an endpoint is back after a crash, in ms. */
const RETURN_MS = { min: 1_000, max: 4_000 };

/** How an endpoint comes back. */
export enum Return {
  SameId = "same_id",
  /** A new endpoint registers at the same address. */
  NewId = "new_id",
}

/**
 * Site whose endpoints crash, leave and come back, change their room, run gangs
 * and check tickets. It reads no wall clock: a seed repeats to the event.
 */
export class HostileSite extends OwnerSite {
  readonly crashes = new CrashRecord();
  readonly tickets = new TicketOffice(this.random);
  /** Tasks that crash each endpoint that starts them. */
  readonly crashingTasks = new Set<string>();
  /** Ends `Failed` so far, each with its run number, by task. */
  readonly failures = new Map<string, Set<number>>();
  readonly #gangs = new FakeGangs(this.jobs, this);
  readonly #down = new Set<FakeEndpoint>();
  readonly #draining = new Set<FakeEndpoint>();
  readonly #history: string[] = [];
  #lifetimes = 0;

  constructor(seed: number, sizes: { entries: number; endpoints: number }) {
    super(seed, sizes);
    this.#advanceGangs();
  }

  /** Computes a hash of all starts, ends and crashes so far. */
  computeHistoryHash(): string {
    return computeHash(this.#history.join("\n"));
  }

  /** Lists the endpoints whose processes run. */
  listUp(): FakeEndpoint[] {
    return [...this.endpoints.values()].filter((it) => this.isUp(it));
  }

  override isUp(endpoint: FakeEndpoint): boolean {
    return !this.#down.has(endpoint);
  }

  override findEndpoint(target: { address: string }): FakeEndpoint | undefined {
    return [...this.endpoints.values()].findLast(({ address }) =>
      address === target.address
    );
  }

  override canUseTicket(order: StartRequest, endpoint: FakeEndpoint): boolean {
    const needsTicket = this.#findJob(order.task)?.queue.advice !== undefined;
    return !needsTicket ||
      this.tickets.canUseTicket(order, endpoint, this.time.now);
  }

  override makeAdvice(clock: ProcessClock): AdviceService {
    const findUpEndpoint = (id: string) =>
      this.listUp().find((endpoint) => endpoint.id === id);
    return new FakeAdviceService({
      office: this.tickets,
      clock,
      findUpEndpoint,
    });
  }

  override recordStart(
    endpoint: FakeEndpoint,
    run: FakeRun,
    options: { isLate: boolean },
  ): void {
    this.#note(`start ${endpoint.id} ${run.task}/${run.run} ${options.isLate}`);
    if (this.#gangs.countTasks(run.task) > 0) run.endsAt = Infinity;
    super.recordStart(endpoint, run, options);
    if (!this.crashingTasks.has(run.task)) return;
    this.crashes.recordStart(run.task, options);
    this.#crashByTask(endpoint, run);
  }

  override recordEnd(
    endpoint: FakeEndpoint,
    run: FakeRun,
    endKind: EndKind,
  ): void {
    this.#note(`end ${endpoint.id} ${run.task}/${run.run} ${endKind}`);
    super.recordEnd(endpoint, run, endKind);
    if (endKind !== EndKind.Failed) return;
    const failedRuns = this.failures.get(run.task) ?? new Set();
    this.failures.set(run.task, failedRuns.add(run.run));
  }

  /** Crashes an endpoint, which comes back after some seconds. */
  crashEndpoint(endpoint: FakeEndpoint, kind = this.drawReturn()): void {
    if (!this.isUp(endpoint)) return;
    this.#stopProcess(endpoint);
    if (kind === Return.NewId) {
      this.#schedule(RECORD_EXPIRES_MS, () => this.#removeRecord(endpoint));
    }
    this.#scheduleReturn(endpoint, kind);
  }

  /** Takes an endpoint away without notice; another one takes its place. */
  removeEndpoint(endpoint: FakeEndpoint): void {
    if (!this.isUp(endpoint)) return;
    this.#stopProcess(endpoint);
    this.#removeRecord(endpoint);
    this.#scheduleReturn(endpoint, Return.NewId);
  }

  /** Lets an endpoint give notice and leave after `drainMs`. */
  drainEndpoint(endpoint: FakeEndpoint, drainMs: number): void {
    if (!this.isUp(endpoint)) return;
    const { bornAt } = endpoint;
    this.#draining.add(endpoint);
    this.registerEndpoint(endpoint, { isDraining: true });
    this.#schedule(drainMs, () => {
      if (endpoint.bornAt === bornAt) this.removeEndpoint(endpoint);
    });
  }

  /**
   * Sets the room of the endpoint at an address; its record shows it with the next
   * heartbeat, or when the endpoint is back.
   */
  setRoom(address: string, room: Demand): void {
    const endpoint = this.findEndpoint({ address });
    if (!endpoint) return;
    this.#note(`room ${endpoint.id} ${room.milliCores} ${room.memoryMb}`);
    endpoint.setRoom(room, this.time.now);
    if (!this.isUp(endpoint)) return;
    const { bornAt } = endpoint;
    this.#schedule(this.random.drawInt(HEARTBEAT_MS), () => {
      const isSame = this.isUp(endpoint) && endpoint.bornAt === bornAt;
      const isListed = this.state.items.has(`endpoints/${endpoint.id}`);
      if (!isSame || !isListed) return;
      const isDraining = this.#draining.has(endpoint);
      this.registerEndpoint(endpoint, { isDraining });
    });
  }

  /** Draws how an endpoint comes back. */
  drawReturn(): Return {
    return this.random.drawInt(2) === 0 ? Return.SameId : Return.NewId;
  }

  #findJob(task: string): JobSpec | undefined {
    return this.jobs.get(task.slice(0, task.indexOf(".")));
  }

  /** Crashes the endpoint before or after the answer to the start. */
  #crashByTask(endpoint: FakeEndpoint, run: FakeRun): void {
    const crash = () => {
      if (endpoint.runs.get(run.task) !== run) return;
      this.crashes.recordCrash(run.task);
      this.crashEndpoint(endpoint);
    };
    const delayMs = this.random.drawInt(MAX_CRASH_DELAY_MS + 1);
    if (delayMs === 0) crash();
    else this.#schedule(delayMs, crash);
  }

  #stopProcess(endpoint: FakeEndpoint): void {
    this.#note(`down ${endpoint.id}`);
    endpoint.restart(this.time.now, this.drawBornAt(endpoint));
    this.#down.add(endpoint);
    this.#draining.delete(endpoint);
  }

  #scheduleReturn(endpoint: FakeEndpoint, kind: Return): void {
    const { min, max } = RETURN_MS;
    this.#schedule(min + this.random.drawInt(max - min), () => {
      const { address, capacity, clockRate, getStopMs } = endpoint;
      if (kind === Return.SameId) {
        this.#down.delete(endpoint);
        this.restartEndpoint(endpoint);
        return this.#note(`up ${endpoint.id}`);
      }
      const id = `${address}x${++this.#lifetimes}`;
      const successor = this.addEndpoint({ id, address, capacity });
      successor.clockRate = clockRate;
      successor.getStopMs = getStopMs;
      this.#note(`up ${id}`);
    });
  }

  #removeRecord({ id }: FakeEndpoint): void {
    this.state.revision++;
    this.state.remove(`endpoints/${id}`);
  }

  #schedule(delayMs: number, run: () => void): void {
    this.time.schedule("world", delayMs, run);
  }

  #note(event: string): void {
    this.#history.push(`${this.time.now} ${event}`);
  }

  #advanceGangs(): void {
    this.#schedule(10, () => {
      this.#gangs.advance(this.listUp(), this.time.now);
      this.#advanceGangs();
    });
  }
}
