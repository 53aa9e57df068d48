import { SeededRandom } from "../../packages/base/mod.ts";
import {
  type Demand,
  type JobSpec,
  JobState,
  type QueueRules,
} from "../../packages/jobs/mod.ts";
import { OWNER_KEY } from "../../packages/scheduler/mod.ts";
import { makeJob, makeQueue, makeStep } from "../cell/cell_site.ts";
import type { FakeEndpoint } from "../cell/fake_endpoint.ts";
import { ENDPOINT_CAPACITY } from "./endpoint_id_records.ts";
import { ADVICE_RULES } from "./fake_advice.ts";
import { HostileSite, Return } from "./hostile_site.ts";
import { StoreFault } from "./memory_store.ts";
import type { OwnerEntry } from "./owner_site.ts";

const JOBS_PER_SEED = 40;
/** Time for the cell to recover after the last fault, in milliseconds. */
const RECOVERY_MS = 90_000;
/** Time in which the last series begins all of its faults, in milliseconds. */
const LAST_SERIES_MS = 6_000;
/** Longest run of a task, in milliseconds. */
const MAX_RUN_MS = 4_000;
/** Longest time that a stop takes at an endpoint, in milliseconds. */
const MAX_STOP_MS = 400;
/** Time for which an endpoint that gives notice still runs, in milliseconds. */
const DRAIN_MS = 3_000;
/** Highest share of orders without an answer at any time, from 0 to 1. */
const MAX_USUAL_ORDER_FAULT_RATE = 0.2;
/** Share of orders without an answer while orders are late, from 0 to 1. */
const LATE_ORDER_RATE = 0.5;
/** Share of orders without an answer before the power fails, from 0 to 1. */
const POWER_ORDER_FAULT_RATE = 0.7;
/** Quota of every other seed; in the others, the endpoints' room binds. */
const QUOTA: Demand = {
  milliCores: 16_000,
  memoryMb: 14_000,
  accelerators: 0,
};
const STORE_FAULTS = [
  StoreFault.Timeout,
  StoreFault.Unavailable,
  StoreFault.LostAnswer,
  StoreFault.AppliedLate,
];

/** What a scenario contains. */
export interface HostileOptions {
  /** Some jobs have a task that crashes each endpoint that starts it. */
  hasCrashingTasks: boolean;
  /** Leases in late orders count from the arrival. */
  hasLateGrants: boolean;
}

/** One seed: jobs of several queues, and series of faults that overlap. */
export class HostileScenario {
  readonly site: HostileSite;
  readonly accepted = new Map<string, JobSpec>();
  readonly cancelled = new Set<string>();
  readonly #random: SeededRandom;
  readonly #options: HostileOptions;
  /** Share of orders without an answer outside of series of late orders. */
  #usualOrderFaultRate: number;
  /** Number of further jobs that get a crashing task. */
  #crashingJobsDue = 0;

  constructor(seed: number, options: HostileOptions) {
    this.#random = new SeededRandom(seed);
    this.#options = options;
    this.#usualOrderFaultRate = MAX_USUAL_ORDER_FAULT_RATE *
      this.#random.drawFloat();
    this.site = new HostileSite(seed + 1, { entries: 3, endpoints: 5 });
    const { site } = this;
    site.hasLateGrants = options.hasLateGrants;
    site.drawRunTime = () => 50 + site.random.drawInt(MAX_RUN_MS);
    site.configDelayMs = this.#random.drawInt(300);
    for (const entry of site.entries) this.#drawLatency(entry);
    for (const fake of site.endpoints.values()) {
      fake.clockRate = 0.98 + 0.02 * this.#random.drawFloat();
      fake.getStopMs = () => this.#random.drawInt(MAX_STOP_MS);
    }
    if (seed % 2 === 1) return;
    site.checker.setQuota(QUOTA);
    site.config.organisations.push(
      { name: "norte", weight: 0, cap: QUOTA, keys: [] },
    );
  }

  /** Submits jobs while series of faults overlap, then lets the cell recover. */
  async run(): Promise<void> {
    const { site } = this;
    await site.time.advance(1_000);
    site.orderFaultRate = this.#usualOrderFaultRate;
    for (let n = 0; n < JOBS_PER_SEED; n++) {
      this.#submitJob(`j${n}`);
      await site.time.advance(50 + this.#random.drawInt(500));
      if (this.#random.drawInt(6) === 0) this.#cancelJob();
      if (this.#random.drawInt(3) > 0) this.#beginSeries();
    }
    await site.time.advance(LAST_SERIES_MS);
    this.#endAllFaults();
    await site.time.advance(RECOVERY_MS);
  }

  /** Finds an entry that runs and acts as the owner. */
  findOwner(): OwnerEntry | undefined {
    const { entries, time } = this.site;
    return entries.findLast(({ role, name }) =>
      role?.isReady && !time.isKilled(name) && !time.isFrozen(name)
    );
  }

  /** Returns the state of an accepted job at its owner; undefined: unknown. */
  findState(id: string): JobState | undefined {
    return this.findOwner()?.role?.find(id, "norte")?.state;
  }

  /** Draws how slow the store is for an entry. */
  #drawLatency({ store }: OwnerEntry): void {
    store.latencyMs = 1 + this.#random.drawInt(40);
  }

  #drawQueue(): QueueRules {
    const attempts = 1 + this.#random.drawInt(3);
    return this.#random.drawInt(2) === 0
      ? makeQueue({ attempts })
      : makeQueue({ name: "advised", attempts, advice: ADVICE_RULES });
  }

  #submitJob(id: string): void {
    const random = this.#random;
    const drawStep = () => {
      const gang = random.drawInt(4) === 0;
      return makeStep({
        tasks: 1 + random.drawInt(gang ? 3 : 5),
        gang,
        demand: {
          milliCores: 500 * (1 + random.drawInt(4)),
          memoryMb: 500 * (1 + random.drawInt(4)),
          accelerators: 0,
        },
        maxPerEndpoint: random.drawInt(3),
      });
    };
    const steps = [drawStep(), { ...drawStep(), after: [0] }];
    const job = makeJob(id, steps, { queue: this.#drawQueue() });
    const crashingIndex = random.drawInt(steps[0].tasks);
    if (this.#crashingJobsDue > 0) {
      this.#crashingJobsDue--;
      this.site.crashingTasks.add(`${id}.0.0.${crashingIndex}`);
    }
    this.findOwner()?.submit(job, () => this.accepted.set(id, job));
  }

  #cancelJob(): void {
    const recent = [...this.accepted.keys()].slice(-6);
    const id = recent[this.#random.drawInt(Math.max(1, recent.length))];
    if (id === undefined) return;
    this.findOwner()?.cancel(id, () => this.cancelled.add(id));
  }

  /** Runs a function after a random delay in milliseconds. */
  #schedule(minMs: number, maxMs: number, run: () => void): void {
    const delayMs = minMs + this.#random.drawInt(maxMs - minMs);
    this.site.time.schedule("world", delayMs, run);
  }

  /** Draws an endpoint that runs. */
  #drawEndpoint(): FakeEndpoint | undefined {
    const up = this.site.listUp();
    return up[this.#random.drawInt(Math.max(1, up.length))];
  }

  /** Calls a function for up to three endpoints, at random moments. */
  #disturbEndpoints(spreadMs: number, run: (it: FakeEndpoint) => void): void {
    const count = 1 + this.#random.drawInt(3);
    for (let n = 0; n < count; n++) {
      this.#schedule(0, spreadMs, () => {
        const endpoint = this.#drawEndpoint();
        if (endpoint) run(endpoint);
      });
    }
  }

  /** Begins one series of faults; often the owner changes in the middle of it. */
  #beginSeries(): void {
    const { site } = this;
    const random = this.#random;
    const series: (() => void)[] = [
      () => this.#disturbEndpoints(2_000, (it) => site.crashEndpoint(it)),
      () => this.#disturbEndpoints(2_000, (it) => site.removeEndpoint(it)),
      () =>
        this.#disturbEndpoints(
          1_000,
          (it) => site.drainEndpoint(it, DRAIN_MS + random.drawInt(3_000)),
        ),
      () => this.#disturbEndpoints(3_000, (it) => this.#shrinkRoom(it)),
      () => this.#delayOrders(),
      () => {
        this.#delayOrders();
        this.#disturbEndpoints(
          6_000,
          (it) => site.crashEndpoint(it, Return.SameId),
        );
        this.#schedule(0, 6_000, () => this.#disturbOwner());
      },
      () => this.#failPower(),
      () => this.#disturbEndpoints(1_000, (it) => this.#cutOff(it)),
      () => {
        site.tickets.failureRate = 0.5 + 0.5 * random.drawFloat();
        this.#schedule(1_000, 4_000, () => site.tickets.failureRate = 0);
      },
      () => {
        this.#cancelJob();
        this.#schedule(0, 1_000, () => this.#cancelJob());
      },
      () => this.#claimFalsely(),
      () => this.#crashingJobsDue += this.#options.hasCrashingTasks ? 1 : 0,
    ];
    series[random.drawInt(series.length)]();
    if (random.drawInt(2) === 0) {
      this.#schedule(0, 3_000, () => this.#disturbOwner());
    }
  }

  #shrinkRoom({ address }: FakeEndpoint): void {
    const { site } = this;
    const share = 0.3 + 0.5 * this.#random.drawFloat();
    const room = { ...ENDPOINT_CAPACITY };
    room.milliCores = Math.round(room.milliCores * share);
    room.memoryMb = Math.round(room.memoryMb * share);
    site.setRoom(address, room);
    this.#schedule(
      2_000,
      9_000,
      () => site.setRoom(address, ENDPOINT_CAPACITY),
    );
  }

  #delayOrders(): void {
    this.site.orderFaultRate = LATE_ORDER_RATE;
    this.#schedule(
      500,
      3_000,
      () => this.site.orderFaultRate = this.#usualOrderFaultRate,
    );
  }

  /**
   * Takes the power from most endpoints while orders to them are late, and
   * disturbs the owner around their return.
   */
  #failPower(): void {
    const { site } = this;
    site.orderFaultRate = POWER_ORDER_FAULT_RATE;
    this.#schedule(1_000, 2_000, () => {
      site.orderFaultRate = this.#usualOrderFaultRate;
      for (const endpoint of site.listUp().slice(1)) {
        site.crashEndpoint(endpoint, Return.SameId);
      }
    });
    this.#schedule(2_000, 5_000, () => this.#disturbOwner());
  }

  /** Cuts an endpoint off from the owner or from all entries. */
  #cutOff({ address }: FakeEndpoint): void {
    const owner = this.findOwner();
    const isFromAll = this.#random.drawInt(2) === 0;
    const entries = this.site.entries.filter((entry) =>
      isFromAll || entry === owner
    );
    for (const { control } of entries) {
      control.unreachableEndpoints.add(address);
    }
    this.#schedule(500, 9_000, () => {
      for (const { control } of entries) {
        control.unreachableEndpoints.delete(address);
      }
    });
  }

  /** Lets an entry claim the cell from an owner that it takes for dead. */
  #claimFalsely(): void {
    const item = this.site.state.items.get(OWNER_KEY);
    const owner = this.findOwner();
    const other = this.site.entries.find((entry) =>
      entry !== owner && !this.site.time.isKilled(entry.name)
    );
    if (item && other) {
      other.election.claimFromDeadOwner(JSON.parse(item.value));
    }
  }

  #disturbOwner(): void {
    const { site } = this;
    const owner = this.findOwner();
    if (!owner) return;
    const faults: (() => void)[] = [
      () => {
        site.time.kill(owner.name);
        owner.role = undefined;
        this.#drawLatency(site.addEntry());
      },
      () => {
        site.time.freeze(owner.name);
        this.#schedule(500, 7_000, () => site.time.thaw(owner.name));
      },
      () => owner.handOver(),
      () => {
        owner.store.fault = STORE_FAULTS[this.#random.drawInt(4)];
        this.#schedule(800, 5_000, () => owner.store.fault = StoreFault.None);
      },
    ];
    faults[this.#random.drawInt(faults.length)]();
  }

  /** Ends all faults except kills, so that the cell can recover. */
  #endAllFaults(): void {
    const { site } = this;
    this.#usualOrderFaultRate = 0;
    site.orderFaultRate = 0;
    site.tickets.failureRate = 0;
    for (const { name, store, control } of site.entries) {
      site.time.thaw(name);
      store.fault = StoreFault.None;
      control.unreachableEndpoints.clear();
    }
  }
}
