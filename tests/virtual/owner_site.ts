import { type Random, SeededRandom } from "../../packages/base/mod.ts";
import {
  type AdviceAnswer,
  DEFAULT_POLICIES,
  type PolicyNames,
} from "../../packages/cell/mod.ts";
import { SilentEventLog } from "../../packages/events/mod.ts";
import { type Demand, EndKind, type JobSpec } from "../../packages/jobs/mod.ts";
import { CancelReply, type Link } from "../../packages/links/mod.ts";
import { Metrics } from "../../packages/metrics/mod.ts";
import {
  AdviceService,
  Election,
  ElectionHost,
  type EndpointTarget,
  type OwnerRecord,
  OwnerRole,
  type Ownership,
  type OwnershipEnd,
  OwnershipEndCause,
  type SiteConfig,
  type StartRequest,
} from "../../packages/scheduler/mod.ts";
import { FakeEndpoint, type FakeRun } from "../cell/fake_endpoint.ts";
import { InvariantChecker } from "../cell/invariant_checker.ts";
import { ENDPOINT_CAPACITY } from "./endpoint_id_records.ts";
import { EndpointStateRecords } from "./endpoint_state_records.ts";
import { FakeEndpointControl } from "./fake_endpoint_control.ts";
import { MemoryStore, MemoryStoreState } from "./memory_store.ts";
import { ProcessClock, VirtualTime } from "./virtual_time.ts";

const LEASE_MS = 4_000;
/** Fraction of restarts after which the endpoint states another start than the true one. */
const STEPPED_FRACTION = 0.3;
/** Largest step of an endpoint's time of day, in milliseconds. */
const MAX_STEP_MS = 5_000;

/** Wall time that the entries of a site read. */
export enum WallTime {
  /** That of the site's virtual clock: a seed repeats to the event. */
  Virtual = "virtual",
  /** That of the process, which advances far more slowly than the virtual clock. */
  System = "system",
}

/** Clock of an entry whose wall time is that of the process. */
class SystemWallClock extends ProcessClock {
  override readWallTime(): number {
    return Date.now();
  }
}

/** Policy service that returns no tickets. */
class NoAdviceService extends AdviceService {
  override ask(): Promise<AdviceAnswer> {
    return Promise.resolve({ tickets: [], validMs: 0 });
  }
  override async close(): Promise<void> {}
}

/** Entry that may own the cell, with its own store client and connections. */
export class OwnerEntry extends ElectionHost {
  /** Name of the entry, also the id of its process. */
  readonly name: string;
  readonly store: MemoryStore;
  readonly control: FakeEndpointControl;
  readonly election: Election;
  /** Role as the owner; undefined while this entry does not own the cell. */
  role: OwnerRole | undefined;
  /** The owner that this entry follows, and since when, in milliseconds. */
  followed: OwnerRecord | undefined;
  followedAt = 0;
  /** Why its ownerships ended, the oldest first. */
  readonly ends: OwnershipEndCause[] = [];
  readonly #site: OwnerSite;
  readonly #clock: ProcessClock;

  constructor(site: OwnerSite, name: string) {
    super();
    this.name = name;
    this.#site = site;
    this.#clock = site.wallTime === WallTime.System
      ? new SystemWallClock(site.time, name)
      : new ProcessClock(site.time, name);
    this.store = new MemoryStore(site.state, this.#clock);
    this.control = new FakeEndpointControl(site, this.#clock);
    this.election = new Election({
      store: this.store,
      clock: this.#clock,
      random: new SeededRandom(site.random.drawInt(1_000_000)),
      log: new SilentEventLog(),
      host: this,
      self: { entry: name, incarnation: `${name}/1`, host: name, port: 1 },
      isOwnerReachable: () => site.isOwnerReachable(this),
      isOwnerUnreachable: () => site.isOwnerUnreachable(this),
    });
    void this.election.run();
  }

  override handleOwnerChange(record: OwnerRecord | undefined): void {
    if (record?.term === this.followed?.term) return;
    this.followed = record;
    this.followedAt = this.#site.time.now;
  }

  override beginOwnership(ownership: Ownership): void {
    const { config, configDelayMs } = this.#site;
    const role = new OwnerRole(ownership, {
      store: this.store,
      records: new EndpointStateRecords(),
      control: this.control,
      advice: this.#site.makeAdvice(this.#clock),
      clock: this.#clock,
      log: new SilentEventLog(),
      metrics: new Metrics(),
      leaseMs: LEASE_MS,
      endpointRecordsMs: 3_000,
      evacuationMs: this.#site.evacuationMs,
      getStoreFailedAt: () => Number.NEGATIVE_INFINITY,
      retentionMs: 1e9,
      takeOverPauseMs: 0,
      policies: this.#site.policies,
      listLinks: () => this.#site.listLinks(this),
      listUnresponsive: (since) => this.#site.listUnresponsive(this, since),
      onIsolated: (reason) =>
        void this.election.stepDown(reason, OwnershipEndCause.Isolated),
      cores: 1,
      getLargestPeerCores: () => 1,
      onReady: () => {},
      onHandover: () => {},
      getConfig: () => configDelayMs > 0 ? undefined : config,
      onDeposed: (reason) => this.election.noteDeposed(reason),
    });
    this.role = role;
    void role.start();
    if (configDelayMs === 0) return;
    this.#clock.schedule(() => role.updateConfig(config), configDelayMs);
  }

  override endOwnership({ cause }: OwnershipEnd): void {
    this.ends.push(cause);
    void this.role?.stop({ isPlanned: false });
    this.role = undefined;
  }

  /** Cancels a job; `onCancelled` is called once that is confirmed. */
  cancel(id: string, onCancelled: () => void): void {
    // The reply is not awaited: a killed or frozen entry sends none.
    this.role?.cancel(id, "norte").then((reply) => {
      if (reply === CancelReply.Cancelled) onCancelled();
    });
  }

  /** Leaves the cell to another entry, as an overloaded owner does. */
  handOver(): void {
    // Not awaited: an entry may be killed or frozen before it is done.
    void this.role?.stop({ isPlanned: true })
      .then(() => this.election.stepDown("hand-over"));
  }

  /** Submits a job; `onAccepted` is called once the job is accepted. */
  submit(job: JobSpec, onAccepted: () => void): void {
    this.#site.recordJob(job);
    // The reply is not awaited: a killed or frozen entry sends none.
    this.role?.submit(job).then((reply) => {
      if (!reply.isUnknown && reply.admission === "accepted") onAccepted();
    });
  }
}

/** Entries, an in-memory store and fake endpoints on one virtual clock. */
export class OwnerSite {
  readonly time = new VirtualTime();
  readonly state = new MemoryStoreState();
  readonly endpoints = new Map<string, FakeEndpoint>();
  readonly checker = new InvariantChecker();
  readonly entries: OwnerEntry[] = [];
  readonly random: Random;
  /** Draws steps of the time of day; apart, so that other draws do not depend on it. */
  readonly #stepRandom: Random;
  readonly jobs = new Map<string, JobSpec>();
  readonly config: SiteConfig = new EndpointStateRecords().decodeConfig();
  /** Bound of evacuations, in milliseconds; undefined: they are not offered. */
  evacuationMs: number | undefined;
  /** Time after which a new owner knows the configuration, in milliseconds. */
  configDelayMs = 0;
  /** Share of orders that arrive late or whose answer is lost, from 0 to 1. */
  orderFaultRate = 0;
  /** Leases in late orders count from the arrival. */
  hasLateGrants = false;

  /** Wall time that the entries read. */
  readonly wallTime: WallTime;
  /** Policies of the cell, whichever entry owns it. */
  readonly policies: PolicyNames;

  constructor(
    seed: number,
    sizes: {
      entries: number;
      endpoints: number;
      wallTime?: WallTime;
      policies?: Partial<PolicyNames>;
    },
  ) {
    this.random = new SeededRandom(seed);
    this.#stepRandom = new SeededRandom(seed);
    this.wallTime = sizes.wallTime ?? WallTime.Virtual;
    this.policies = { ...DEFAULT_POLICIES, ...sizes.policies };
    for (let n = 0; n < sizes.endpoints; n++) {
      this.addEndpoint({ id: `w${n}`, capacity: ENDPOINT_CAPACITY });
    }
    for (let n = 0; n < sizes.entries; n++) this.addEntry();
    this.#advanceEndpoints();
  }

  /** Adds an endpoint, which registers at once. */
  addEndpoint(
    options: { id: string; address?: string; capacity: Demand },
  ): FakeEndpoint {
    const bornAt = this.time.now;
    const fakeEndpoint = new FakeEndpoint({ ...options, bornAt });
    fakeEndpoint.onEnd = (run, endKind) =>
      this.recordEnd(fakeEndpoint, run, endKind);
    fakeEndpoint.onEndDiscarded = (task) =>
      this.checker.reportableDone.delete(task);
    this.endpoints.set(fakeEndpoint.id, fakeEndpoint);
    this.registerEndpoint(fakeEndpoint);
    return fakeEndpoint;
  }

  /** Restarts an endpoint under its id; it registers anew. */
  restartEndpoint(endpoint: FakeEndpoint): void {
    endpoint.restart(this.time.now, this.drawBornAt(endpoint));
    this.registerEndpoint(endpoint);
  }

  /** Draws the start that a new lifetime states; the time of day may be stepped. */
  drawBornAt({ bornAt }: FakeEndpoint): number {
    if (this.#stepRandom.drawFloat() >= STEPPED_FRACTION) return this.time.now;
    const stepMs = this.#stepRandom.drawInt(2 * MAX_STEP_MS) - MAX_STEP_MS;
    const steppedAt = Math.max(1, this.time.now + stepMs);
    return steppedAt === bornAt ? steppedAt + 1 : steppedAt;
  }

  /** Finds the endpoint that an order reaches, which may be another one. */
  findEndpoint({ id }: EndpointTarget): FakeEndpoint | undefined {
    return this.endpoints.get(id);
  }

  /** Tells whether the process of an endpoint runs. */
  isUp(_endpoint: FakeEndpoint): boolean {
    return true;
  }

  /** Tells whether an endpoint accepts the ticket of a start. */
  canUseTicket(_order: StartRequest, _endpoint: FakeEndpoint): boolean {
    return true;
  }

  /** Makes the policy service that an entry asks. */
  makeAdvice(_clock: ProcessClock): AdviceService {
    return new NoAdviceService();
  }

  /** Lists the links of an owner to other entries. */
  listLinks(_owner: OwnerEntry): Link[] {
    return [];
  }

  /** Lists entries whose links to an owner went silent after the time `since`. */
  listUnresponsive(_owner: OwnerEntry, _since: number): string[] {
    return [];
  }

  /** Tells whether an entry is linked to the owner that it follows. */
  isOwnerReachable(_entry: OwnerEntry): boolean {
    return false;
  }

  /** Tells whether an entry tried in vain to reach the owner that it follows. */
  isOwnerUnreachable(_entry: OwnerEntry): boolean {
    return false;
  }

  /** Adds an entry, which takes part in the election at once. */
  addEntry(): OwnerEntry {
    const entry = new OwnerEntry(this, `e${this.entries.length}`);
    this.entries.push(entry);
    return entry;
  }

  /** Records a submitted job for the checker and for `getDemand`. */
  recordJob(job: JobSpec): void {
    this.jobs.set(job.id, job);
    this.checker.recordJob(job);
  }

  /** Passes a start at an endpoint to the checker. */
  recordStart(
    endpoint: FakeEndpoint,
    run: FakeRun,
    _options: { isLate: boolean },
  ): void {
    this.checker.recordStart(this.endpoints, endpoint, run);
  }

  /** Passes the end of a run at an endpoint to the checker. */
  recordEnd(endpoint: FakeEndpoint, run: FakeRun, endKind: EndKind): void {
    this.checker.recordEnd(endpoint, run, endKind);
  }

  /** Returns the demand of a task, given by its full name. */
  getDemand(task: string): FakeRun["demand"] {
    const [job, , step] = task.split(".");
    return this.jobs.get(job)?.steps[Number(step)].demand ?? ENDPOINT_CAPACITY;
  }

  /** Draws the run time of a task, in milliseconds. */
  drawRunTime(): number {
    return 50 + this.random.drawInt(2_500);
  }

  /** Draws whether a run fails or is done. */
  drawEndKind(): EndKind {
    return this.random.drawFloat() < 0.03 ? EndKind.Failed : EndKind.Done;
  }

  /** Draws whether an order is answered, loses its answer or arrives late. */
  drawDelivery(_endpoint: FakeEndpoint): "answered" | "lost" | "late" {
    if (this.random.drawFloat() >= this.orderFaultRate) return "answered";
    return this.random.drawFloat() < 0.5 ? "lost" : "late";
  }

  /** Writes the endpoint's record of itself to the store. */
  registerEndpoint(
    { id, address, bornAt, capacity }: FakeEndpoint,
    { isDraining = false } = {},
  ): void {
    this.state.revision++;
    const record = { address, bornAt, capacity, isDraining };
    this.state.put(`endpoints/${id}`, JSON.stringify(record), 0);
  }

  /** Ends runs that are finished or whose lease has expired, every 10 ms. */
  #advanceEndpoints(): void {
    this.time.schedule("world", 10, () => {
      for (const fakeEndpoint of this.endpoints.values()) {
        fakeEndpoint.advance(this.time.now);
      }
      this.#advanceEndpoints();
    });
  }
}
