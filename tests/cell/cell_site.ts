import { type Random, SeededRandom } from "../../packages/base/mod.ts";
import {
  Cell,
  type CellOutput,
  type CellSnapshot,
  type CurrentTime,
  DEFAULT_POLICIES,
  type Endpoint,
  noteLeaseSent,
  type Order,
  OrderKind,
  PaceResult,
  type PolicyNames,
  StartResult,
  StopResult,
} from "../../packages/cell/mod.ts";
import {
  type Demand,
  EndKind,
  type JobSpec,
  type JobState,
  parseTaskName,
  type QueueRules,
  type StepSpec,
} from "../../packages/jobs/mod.ts";
import type { JournalRecord } from "../../packages/journal/mod.ts";
import { FakeEndpoint, type FakeRun } from "./fake_endpoint.ts";
import { RuleChecker } from "./rule_checker.ts";

/** Longest lease of the fake endpoints, in milliseconds. */
export const LEASE_MS = 6_000;

/** How long a former owner may prolong leases that nobody else sees, in ms. */
const OWNER_DOUBT_MS = 11_000;

/** Makes a queue; without other words it needs no advice. */
export function makeQueue(rules: Partial<QueueRules> = {}): QueueRules {
  return {
    name: "filings",
    service: "desk",
    priority: 1,
    attempts: 3,
    stretch: 2,
    targetLatencyMs: 500,
    ...rules,
  };
}

/** Makes a step of one task on one core. */
export function makeStep(step: Partial<StepSpec> = {}): StepSpec {
  return {
    tasks: 1,
    demand: { milliCores: 1_000, memoryMb: 100, accelerators: 0 },
    estimateMs: 500,
    after: [],
    checkpointing: false,
    gang: false,
    rackLocal: false,
    requiredLabel: "",
    preferredRack: "",
    maxPerEndpoint: 0,
    speculative: false,
    longRunning: false,
    targetMs: 0,
    isFilling: false,
    maxAway: 0,
    ...step,
  };
}

/** Makes a job of one organisation. */
export function makeJob(
  id: string,
  steps: StepSpec[],
  job: Partial<JobSpec> = {},
): JobSpec {
  return {
    id,
    organisation: "norte",
    queue: makeQueue(),
    payload: "{}",
    steps,
    occurrences: 0,
    firstRunAt: 0,
    intervalMs: 0,
    ...job,
  };
}

/** How a task of a job ends; by default it is done after its estimate. */
export type EndRule = (run: FakeRun, random: Random) => {
  afterMs: number;
  how: EndKind;
};

/**
 * A cell with fake endpoints, a journal in memory and one virtual clock:
 * decisions without network. Commits last `commitMs`; owners can be replaced.
 */
export class CellSite {
  now = 1_800_000_000_000;
  readonly endpoints = new Map<string, FakeEndpoint>();
  readonly journal: JournalRecord[] = [];
  readonly random: Random;
  readonly policies: PolicyNames;
  readonly checker = new RuleChecker();
  cell: Cell;
  fence = 1;
  /** Part of the orders whose answer is lost, and that run later or never. */
  lostPart = 0;
  endRule: EndRule;
  /** Endpoints that the policy allows; nothing: all. */
  allowed: ((endpoint: string) => boolean) | undefined;
  adviceMs = 20;
  /** When each entry that asks for advice is free; none: no limit. */
  lanes: number[] | undefined;
  /** Time until a commit is answered, in milliseconds. */
  commitMs = 20;
  /** Time between two listings of an endpoint, in milliseconds. */
  holdMs = 100;
  snapshot: CellSnapshot | undefined;
  readonly draining = new Set<string>();
  /** Labels and rack of an endpoint. */
  describeEndpoint: (id: string) => { labels: string[]; rack: string } =
    () => ({
      labels: [],
      rack: "",
    });
  readonly calls = { starts: 0, stops: 0, holds: 0, paces: 0, advice: 0 };
  #commits: { at: number; owner: Cell; output: CellOutput }[] = [];
  #later: { at: number; run: () => void }[] = [];
  #heldAt = new Map<Endpoint, number>();

  constructor(options: {
    endpoints?: number;
    capacity?: Demand;
    seed?: number;
    afterMs?: number;
    policies?: Partial<PolicyNames>;
  } = {}) {
    this.random = new SeededRandom(options.seed ?? 1);
    const capacity = options.capacity ??
      { milliCores: 8_000, memoryMb: 8_000, accelerators: 0 };
    for (let n = 0; n < (options.endpoints ?? 4); n++) {
      this.addEndpoint(`e${n}`, capacity);
    }
    const afterMs = options.afterMs ?? 500;
    this.endRule = () => ({ afterMs, how: EndKind.Done });
    this.policies = { ...DEFAULT_POLICIES, ...options.policies };
    this.cell = this.#makeCell(1);
    this.listEndpoints();
  }

  get present(): CurrentTime {
    return { now: this.now, wallNow: this.now };
  }

  addEndpoint(id: string, capacity: Demand): FakeEndpoint {
    const endpoint = new FakeEndpoint({ id, bornAt: this.now - 1, capacity });
    endpoint.onEnd = (run, how) => this.checker.noteEnd(endpoint, run, how);
    endpoint.onForget = (task) => this.checker.known.delete(task);
    this.endpoints.set(id, endpoint);
    return endpoint;
  }

  /** Tells the cell of the endpoints that the platform lists. */
  listEndpoints(): void {
    this.cell.updateEndpoints([...this.endpoints.values()].map((each) => ({
      id: each.id,
      address: each.id,
      service: "desk",
      domain: "a",
      ...this.describeEndpoint(each.id),
      capacity: each.capacity,
      isDraining: this.draining.has(each.id),
    })));
  }

  submit(job: JobSpec): void {
    this.checker.noteJob(job);
    this.cell.submit(job, this.present);
    this.#flush();
  }

  cancel(id: string): void {
    this.cell.cancel(id, { organisation: "norte", present: this.present });
    this.#flush();
  }

  find(id: string): JobState | undefined {
    return this.cell.findStatus(id, "norte")?.state;
  }

  /** Lets time pass in steps of 10 ms. */
  advance(ms: number): void {
    const until = this.now + ms;
    while (this.now < until) {
      this.now += 10;
      for (const each of this.endpoints.values()) each.advance(this.now);
      this.#runDue();
      this.#holdEndpoints();
      this.#flush();
    }
  }

  /** Another owner takes over; the last commits of the former are lost. */
  replaceOwner(): void {
    this.fence++;
    this.#commits = [];
    this.#heldAt.clear();
    this.cell = this.#makeCell(this.fence);
    this.cell.restore(
      { snapshot: this.snapshot, records: structuredClone(this.journal) },
      { safeAt: this.now + OWNER_DOUBT_MS, present: this.present },
    );
    this.listEndpoints();
  }

  /** Writes a snapshot; the records before it are no longer needed. */
  takeSnapshot(): void {
    const text = JSON.stringify(this.cell.collectSnapshot());
    this.snapshot = JSON.parse(text) as CellSnapshot;
    this.journal.length = 0;
  }

  #makeCell(term: number): Cell {
    const { policies } = this;
    return new Cell({
      term,
      retentionMs: 120_000,
      leaseMs: LEASE_MS,
      policies,
    });
  }

  #runDue(): void {
    const due = this.#later.filter(({ at }) => at <= this.now);
    this.#later = this.#later.filter(({ at }) => at > this.now);
    for (const { run } of due) run();
    for (const commit of this.#commits.filter(({ at }) => at <= this.now)) {
      this.journal.push(...structuredClone(commit.output.records));
      commit.owner.noteCommitted(commit.output, this.now);
      for (
        const start of commit.owner.listStarts(commit.output, this.present)
      ) {
        this.#carryOut(commit.owner, start);
      }
    }
    this.#commits = this.#commits.filter(({ at }) => at > this.now);
  }

  #holdEndpoints(): void {
    for (const endpoint of this.cell.state.endpoints.values()) {
      const last = this.#heldAt.get(endpoint) ?? 0;
      if (this.now - last < this.holdMs) continue;
      this.#heldAt.set(endpoint, this.now);
      const fake = this.endpoints.get(endpoint.info.id);
      if (!fake || fake.isCut) continue;
      this.calls.holds++;
      const hasLease = endpoint.hasAcceptedFence && endpoint.runs.size > 0;
      if (hasLease) {
        noteLeaseSent(endpoint, { now: this.now, leaseMs: LEASE_MS });
      }
      const listing = fake.hold({
        fence: this.fence,
        acknowledgedEnd: endpoint.committedEndNumber,
        leaseUntil: hasLease
          ? this.now + endpoint.clockOffset + LEASE_MS
          : undefined,
      }, this.now);
      if (!listing) continue;
      const times = { ...this.present, askedAt: this.now };
      this.cell.applyListing(endpoint, { listing, times });
    }
  }

  #flush(): void {
    const lanes = this.lanes?.map((at) => Math.max(0, at - this.now));
    this.cell.setAdviceBacklogs(lanes ?? Array.from({ length: 100 }, () => 0));
    this.cell.plan(this.present, { mayStart: true });
    const output = this.cell.collectOutput();
    this.#commits.push({
      at: this.now + this.commitMs,
      owner: this.cell,
      output,
    });
    for (const order of output.orders) {
      if (order.kind !== OrderKind.Start) this.#carryOut(this.cell, order);
    }
  }

  #carryOut(owner: Cell, order: Order): void {
    if (order.kind === OrderKind.AskAdvice) return this.#advise(owner, order);
    const { run } = order;
    const fake = this.endpoints.get(run.endpoint.info.id);
    const fence = this.fence;
    if (order.kind === OrderKind.Pace) {
      this.calls.paces++;
      const { percent } = order;
      const result = fake && !fake.isCut
        ? fake.setPace({ task: run.task, run: run.number, percent, fence })
        : PaceResult.Unknown;
      owner.applyPaceAnswer(run, { result, percent });
      return;
    }
    if (order.kind === OrderKind.Stop) {
      this.calls.stops++;
      const result = fake && !fake.isCut
        ? fake.stop({ task: run.task, run: run.number, fence }, this.now)
        : StopResult.Unknown;
      owner.applyStopAnswer(run, { result, now: this.now });
      return;
    }
    this.calls.starts++;
    noteLeaseSent(run.endpoint, { now: this.now, leaseMs: LEASE_MS });
    const leaseUntil = this.now + run.endpoint.clockOffset + LEASE_MS;
    const { bornAt } = run.endpoint;
    const start = () => {
      if (!fake || fake.isCut) return StartResult.Unknown;
      if (fake.bornAt !== bornAt) return StartResult.OtherLifetime;
      const fakeRun: FakeRun = {
        task: run.task,
        run: run.number,
        demand: run.demand,
        endpoint: run.endpoint.info.id,
        endsAt: 0,
        how: EndKind.Done,
        pace: 100,
      };
      const { afterMs, how } = this.endRule(fakeRun, this.random);
      fakeRun.endsAt = this.now + afterMs;
      fakeRun.how = how;
      const result = fake.start({ run: fakeRun, fence, leaseUntil }, this.now);
      const isNew = fake.runs.get(run.task) === fakeRun;
      if (isNew) {
        this.checker.savedAt.push(order.checkpoint);
        this.checker.noteStart(this.endpoints, fake, fakeRun);
      }
      return result;
    };
    const isLost = this.random.drawFloat() < this.lostPart;
    if (isLost && this.random.drawFloat() < 0.5) {
      const at = this.now + 500 + this.random.drawInt(6_000);
      this.#later.push({ at, run: start });
    }
    const result = isLost ? StartResult.Unknown : start();
    const present = this.present;
    this.#later.push({
      at: this.now + (isLost ? 1_000 : 10),
      run: () => owner.applyStartAnswer(run, { result, present }),
    });
  }

  /** Returns when the entry that is free first has made a call. */
  #claimLane(costMs: number): number | undefined {
    if (!this.lanes) return undefined;
    const first = Math.min(...this.lanes);
    const endsAt = Math.max(first, this.now) + costMs;
    this.lanes[this.lanes.indexOf(first)] = endsAt;
    return endsAt;
  }

  #advise(
    owner: Cell,
    order: Extract<Order, { kind: OrderKind.AskAdvice }>,
  ): void {
    this.calls.advice++;
    const { stage, endpoints } = order;
    const isAllowed = this.allowed ?? (() => true);
    const tickets = endpoints.filter(isAllowed)
      .map((endpoint) => ({ endpoint, ticket: `t-${endpoint}` }));
    this.#later.push({
      at: this.#claimLane(order.costMs) ?? this.now + this.adviceMs,
      run: () =>
        owner.applyAdvice(stage, {
          endpoints,
          answer: { tickets, validMs: 1_500 },
          now: this.now,
        }),
    });
  }
}

/** Returns the job of a task. */
export function getJobOf(task: string): string {
  return parseTaskName(task)?.job ?? "";
}
