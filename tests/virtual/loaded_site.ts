import { computeBucket } from "../../packages/base/mod.ts";
import {
  Admission,
  AdmissionName,
  type AdviceAnswer,
  ChoiceName,
  GangStartsName,
  LeavingName,
  OrderName,
  type PolicyNames,
  RunTimesName,
  SharesName,
  StallsName,
} from "../../packages/cell/mod.ts";
import {
  JobState,
  type QueueRules,
  type StepSpec,
} from "../../packages/jobs/mod.ts";
import type { Link, SubmitReply } from "../../packages/links/mod.ts";
import {
  AdviceService,
  type OrganisationConfig,
} from "../../packages/scheduler/mod.ts";
import type { FakeEndpoint, FakeRun } from "../cell/fake_endpoint.ts";
import { makeJob, makeQueue, makeStep } from "../cell/cell_site.ts";
import { FakeGangs } from "./fake_gangs.ts";
import { OwnerSite } from "./owner_site.ts";
import { ProcessClock } from "./virtual_time.ts";

/** Policies that the settings template of the deployments asks for. */
const TEMPLATE_POLICIES: Partial<PolicyNames> = {
  run_times: RunTimesName.Learned,
  choice: ChoiceName.Speed,
  order: OrderName.Learned,
  admission: AdmissionName.Room,
  shares: SharesName.Dominant,
  stalls: StallsName.Progress,
  gang_starts: GangStartsName.Repeat,
  leaving: LeavingName.Move,
};

/** Processor time that an owner is charged for, in milliseconds. */
export interface WorkCosts {
  /** A decision about a submission, beside what reading and answering it takes. */
  submissionMs: number;
  /** A call to an endpoint, the store or the policy service, with its answer. */
  callMs: number;
  /** A plan: once, and for each stage that waits. */
  planMs: number;
  planStageMs: number;
}

/** A kind of job that callers submit all day. */
interface DemandKind {
  queue: QueueRules;
  jobsPerS: number;
  /** Share of the endpoints that advice allows, from 0 to 1. */
  allowedShare: number;
  /** Spread of tasks per job and of run times, as a fraction of the mean. */
  spread: number;
  step: Partial<StepSpec>;
}

/** A submission as its caller sees it. Times: site time in milliseconds. */
export interface CallerJob {
  queue: string;
  /** By when it is in time. */
  dueAt: number;
  attempts: number;
  isAccepted: boolean;
  completedAt?: number;
}

/** Organisations that share the cell, each with a quota far above its usual demand. */
const ORGANISATIONS = 20;
const QUOTA_FACTOR = 2;

/** Unit in which the demand of a task is drawn, in thousandths of a core. */
const DEMAND_UNIT = 50;

/** Entries beside the owner that ask for advice, with all endpoints. */
const OTHER_ENTRIES = 40;

/** Time after which an entry takes a submission for unanswered, in milliseconds. */
const CALL_TIMEOUT_MS = 1_000;

/** Attempts of a caller with one job. */
const MAX_ATTEMPTS = 5;

/** Pause of a caller before it asks again without a Retry-After, in milliseconds. */
const CALLER_PAUSE_MS = 250;

/** Cores and memory of each endpoint. */
const ROOM = { milliCores: 16_000, memoryMb: 32_768, accelerators: 0 };

/** Room of one cell of 250 endpoints, in cores; demand is scaled to smaller ones. */
const FULL_ENDPOINTS = 250;

const DEMAND: readonly DemandKind[] = [
  {
    queue: makeQueue({
      name: "urgent",
      priority: 0,
      attempts: 2,
      stretch: 1.5,
      targetLatencyMs: 250,
      advice: { decideMs: 7, perEndpointMs: 0.1, validMs: 2_500 },
    }),
    jobsPerS: 80,
    allowedShare: 0.7,
    spread: 0.3,
    step: {
      tasks: 3,
      estimateMs: 640,
      demand: { milliCores: 2_500, memoryMb: 3_600, accelerators: 0 },
    },
  },
  {
    queue: makeQueue({
      name: "bulk",
      priority: 1,
      attempts: 3,
      stretch: 2.2,
      targetLatencyMs: 1_000,
      advice: { decideMs: 550, perEndpointMs: 7.8, validMs: 2_500 },
    }),
    jobsPerS: 2.4,
    allowedShare: 0.25,
    spread: 0.3,
    step: {
      tasks: 20,
      gang: true,
      estimateMs: 5_000,
      demand: { milliCores: 4_500, memoryMb: 4_500, accelerators: 0 },
    },
  },
  {
    queue: makeQueue({
      name: "sweep",
      priority: 2,
      attempts: 4,
      stretch: 4,
      targetLatencyMs: 3_000,
      advice: { decideMs: 100, perEndpointMs: 1.4, validMs: 2_500 },
    }),
    jobsPerS: 8,
    allowedShare: 0.45,
    spread: 0.3,
    step: {
      tasks: 25,
      estimateMs: 2_700,
      demand: { milliCores: 1_700, memoryMb: 1_800, accelerators: 0 },
    },
  },
];

type AdviceQuery = Parameters<AdviceService["ask"]>[0];

/** Policy service that allows a fixed share of the endpoints for each step. */
class ShareAdvice extends AdviceService {
  readonly #site: LoadedSite;
  readonly #clock: ProcessClock;

  constructor(site: LoadedSite, clock: ProcessClock) {
    super();
    this.#site = site;
    this.#clock = clock;
  }

  override async ask(
    { stage, endpoints }: AdviceQuery,
  ): Promise<AdviceAnswer> {
    const { allowedShare, queue } = this.#site.findDemand(stage.split(".")[0]);
    const { decideMs, perEndpointMs, validMs } = queue.advice!;
    await this.#clock.sleep(decideMs + perEndpointMs * endpoints.length);
    const tickets = endpoints
      .filter((id) => computeBucket(`${stage} ${id}`, 100) < allowedShare * 100)
      .map((endpoint) => ({ endpoint, ticket: `${stage} ${endpoint}` }));
    return { tickets, validMs };
  }

  override async close(): Promise<void> {}
}

/**
 * One owner whose processor time is charged, under the demand of a mixed cell: short
 * urgent jobs, gangs, and wide jobs with time to spare. Callers wait, retry and return.
 */
export class LoadedSite extends OwnerSite {
  readonly callers = new Map<string, CallerJob>();
  readonly #startedAt = new WeakMap<FakeRun, number>();
  readonly #kinds = new Map<string, DemandKind>();
  readonly #gangs = new FakeGangs(this.jobs, {
    drawRunTime: () => this.#drawTime(DEMAND[1]),
    drawEndKind: () => this.drawEndKind(),
  });
  readonly #scale: number;
  readonly #links: Link[] = [];
  #jobNumber = 0;

  constructor(
    seed: number,
    options: {
      endpoints: number;
      costs?: WorkCosts;
      policies?: Partial<PolicyNames>;
    },
  ) {
    const policies = { ...TEMPLATE_POLICIES, ...options.policies };
    super(seed, { entries: 1, endpoints: 0, policies });
    this.#scale = options.endpoints / FULL_ENDPOINTS;
    this.config.organisations = this.#makeOrganisations(options.endpoints);
    for (let n = 0; n < options.endpoints; n++) {
      const endpoint = this.addEndpoint({ id: `w${n}`, capacity: ROOM });
      endpoint.getPercent = (run) => this.#computePercent(run);
    }
    for (let n = 0; n < OTHER_ENTRIES * this.#scale; n++) {
      this.#links.push(this.#makeLink(`other-${n}`));
    }
    if (options.costs) this.#chargeOwner(options.costs);
    this.#advanceWorld();
  }

  /** Sends jobs for `ms` at a multiple of the usual rate of one queue or of all. */
  async sendLoad(
    ms: number,
    { factor = 1, queue = "" }: { factor?: number; queue?: string } = {},
  ): Promise<void> {
    const until = this.time.now + ms;
    const due = DEMAND.map(() => this.random.drawFloat());
    while (this.time.now < until) {
      for (const [index, kind] of DEMAND.entries()) {
        const isRaised = queue === "" || queue === kind.queue.name;
        due[index] += kind.jobsPerS * this.#scale * (isRaised ? factor : 1) /
          100;
        for (; due[index] >= 1; due[index]--) this.#sendJob(kind);
      }
      await this.time.advance(10);
    }
  }

  /** Returns the share of the jobs of a queue that completed in time, from 0 to 1. */
  measureInTime(queue: string): number {
    const jobs = [...this.callers.values()].filter((job) =>
      job.queue === queue
    );
    const inTime = jobs.filter(({ completedAt, dueAt }) =>
      completedAt !== undefined && completedAt <= dueAt
    );
    return inTime.length / Math.max(1, jobs.length);
  }

  /** Finds the kind of a job by its id. */
  findDemand(id: string): DemandKind {
    return this.#kinds.get(id)!;
  }

  override makeAdvice(clock: ProcessClock): AdviceService {
    return new ShareAdvice(this, clock);
  }

  override listLinks(): Link[] {
    return this.#links;
  }

  override recordStart(
    endpoint: FakeEndpoint,
    run: FakeRun,
    options: { isLate: boolean },
  ): void {
    const kind = this.findDemand(run.task.split(".")[0]);
    run.endsAt = this.#gangs.countTasks(run.task) > 0
      ? Number.POSITIVE_INFINITY
      : this.time.now + this.#drawTime(kind);
    this.#startedAt.set(run, this.time.now);
    super.recordStart(endpoint, run, options);
  }

  #makeOrganisations(endpoints: number): OrganisationConfig[] {
    const share = QUOTA_FACTOR * endpoints / ORGANISATIONS;
    return Array.from({ length: ORGANISATIONS }, (_, n) => ({
      name: `o${n}`,
      keys: [],
      weight: 1,
      cap: { ...ROOM, milliCores: ROOM.milliCores * share, memoryMb: 0 },
    }));
  }

  /** Makes a link over which another entry is asked for advice. */
  #makeLink(peer: string): Link {
    const advice = new ShareAdvice(this, new ProcessClock(this.time, peer));
    const link: Pick<Link, "peer" | "measureIdleTime" | "call"> = {
      peer,
      measureIdleTime: () => 0,
      call:
        (async (_method, params) =>
          await advice.ask(params as AdviceQuery)) as Link["call"],
    };
    return link as Link;
  }

  #computePercent(run: FakeRun): number {
    const startedAt = this.#startedAt.get(run) ?? this.time.now;
    const elapsedMs = this.time.now - startedAt;
    const totalMs = Number.isFinite(run.endsAt)
      ? run.endsAt - startedAt
      : DEMAND[1].step.estimateMs!;
    return Math.min(99, Math.floor(100 * elapsedMs / Math.max(1, totalMs)));
  }

  #advanceWorld(): void {
    this.time.schedule("gangs", 10, () => {
      this.#gangs.advance(this.endpoints.values(), this.time.now);
      this.#noteCompletions();
      this.#advanceWorld();
    });
  }

  #noteCompletions(): void {
    const cell = this.entries[0].role?.cell;
    if (!cell) return;
    for (const [id, job] of this.callers) {
      if (job.completedAt !== undefined || !job.isAccepted) continue;
      const { organisation } = this.jobs.get(id)!;
      const state = cell.findStatus(id, organisation)?.state;
      if (state === JobState.Completed) job.completedAt = this.time.now;
    }
  }

  #drawTime(kind: DemandKind): number {
    return Math.round((kind.step.estimateMs ?? 0) * this.#drawFactor(kind));
  }

  /** Draws by which factor a job or a run differs from the mean of its kind. */
  #drawFactor({ spread }: DemandKind): number {
    return 1 + spread * (2 * this.random.drawFloat() - 1);
  }

  #sendJob(kind: DemandKind): void {
    const id = `j${this.#jobNumber++}`;
    this.#kinds.set(id, kind);
    const tasks = Math.max(
      1,
      Math.round((kind.step.tasks ?? 1) * this.#drawFactor(kind)),
    );
    const demand = { ...kind.step.demand! };
    demand.milliCores = DEMAND_UNIT *
      Math.round(demand.milliCores * this.#drawFactor(kind) / DEMAND_UNIT);
    const job = makeJob(id, [makeStep({ ...kind.step, tasks, demand })], {
      organisation: `o${this.random.drawInt(ORGANISATIONS)}`,
      queue: kind.queue,
    });
    this.recordJob(job);
    const { stretch, targetLatencyMs, advice } = kind.queue;
    const workMs = (kind.step.estimateMs ?? 0) + advice!.decideMs +
      advice!.perEndpointMs * 30;
    const caller: CallerJob = {
      queue: kind.queue.name,
      dueAt: this.time.now + stretch * workMs + targetLatencyMs,
      attempts: 0,
      isAccepted: false,
    };
    this.callers.set(id, caller);
    this.#submit(id, caller);
  }

  /** Sends a job as a caller's entry does; the caller asks again when told to. */
  #submit(id: string, caller: CallerJob): void {
    const { role, name } = this.entries[0];
    const sentAt = this.time.now;
    caller.attempts++;
    let isSettled = false;
    const retry = (afterMs: number) => {
      if (isSettled) return;
      isSettled = true;
      if (caller.attempts >= MAX_ATTEMPTS) return;
      this.time.schedule("callers", afterMs, () => this.#submit(id, caller));
    };
    if (!role) return retry(CALLER_PAUSE_MS);
    this.time.schedule(
      "callers",
      CALL_TIMEOUT_MS,
      () => retry(CALLER_PAUSE_MS),
    );
    const handleReply = (reply: SubmitReply) => {
      if (reply.isUnknown) return retry(CALLER_PAUSE_MS);
      const { admission, retryAfterMs = CALLER_PAUSE_MS } = reply;
      const isKept = admission === Admission.Accepted ||
        admission === Admission.Known;
      if (isKept) {
        caller.isAccepted = true;
        isSettled = true;
        return;
      }
      retry(retryAfterMs);
    };
    // The owner reads the submission when its processor is free.
    this.time.schedule(name, 0, () => {
      if (this.time.now - sentAt > CALL_TIMEOUT_MS) return;
      role.submit(this.jobs.get(id)!).then(handleReply);
    });
  }

  /** Charges the work of the owner, once it has taken over. */
  #chargeOwner(costs: WorkCosts): void {
    const [entry] = this.entries;
    const charge = (ms: number) => this.time.chargeWork(entry.name, ms);
    wrapMethod(entry.store, "commit", () => charge(costs.callMs));
    for (const call of ["start", "stop", "poll"] as const) {
      wrapMethod(entry.control, call, () => charge(costs.callMs));
    }
    const beginOwnership = entry.beginOwnership.bind(entry);
    entry.beginOwnership = (ownership) => {
      beginOwnership(ownership);
      const { cell } = entry.role!;
      wrapMethod(
        cell,
        "submit",
        () => charge(costs.submissionMs + costs.callMs),
      );
      wrapMethod(
        cell,
        "plan",
        () => charge(costs.planMs + costs.planStageMs * cell.state.ready.size),
      );
    };
  }
}

/** Calls `before` before each call of a method. */
function wrapMethod<T extends object>(
  target: T,
  name: keyof T,
  before: () => void,
): void {
  const method = target[name] as (...args: unknown[]) => unknown;
  Object.assign(target, {
    [name]: (...args: unknown[]) => {
      before();
      return method.apply(target, args);
    },
  });
}
