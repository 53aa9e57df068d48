import { type Random, SeededRandom } from "../../packages/base/mod.ts";
import {
  type AdviceAnswer,
  DEFAULT_POLICIES,
  type EndpointInfo,
  PaceResult,
  StartResult,
  StopResult,
} from "../../packages/cell/mod.ts";
import { SilentEventLog } from "../../packages/events/mod.ts";
import { EndKind, type JobSpec } from "../../packages/jobs/mod.ts";
import { Metrics } from "../../packages/metrics/mod.ts";
import {
  AdviceService,
  Election,
  ElectionHost,
  EndpointControl,
  type EndpointTarget,
  OwnerRole,
  type Ownership,
  type PaceAnswer,
  type PollAnswer,
  type PollRequest,
  PollResult,
  type SiteConfig,
  type StartAnswer,
  type StartRequest,
  type StopAnswer,
} from "../../packages/scheduler/mod.ts";
import { NotSentError, UnknownEffectError } from "../../packages/base/mod.ts";
import { FakeEndpoint, type FakeRun } from "../cell/fake_endpoint.ts";
import { RuleChecker } from "../cell/rule_checker.ts";
import { NoWaveRecords } from "./no_wave_records.ts";
import { MemoryState, MemoryStore } from "./memory_store.ts";
import { LaneClock, VirtualTime } from "./virtual_time.ts";

const CAPACITY = { milliCores: 6_000, memoryMb: 6_000, accelerators: 0 };
const LEASE_MS = 4_000;
const WAY_MS = 2;

class IdRecords extends NoWaveRecords {
  override readonly configKey = "config";
  override readonly endpointPrefix = "endpoints/";

  override decodeConfig(): SiteConfig {
    return { version: 1, queues: [], organisations: [], maxBodyBytes: 1_000 };
  }

  override decodeEndpoint(key: string): EndpointInfo {
    const id = key.slice(this.endpointPrefix.length);
    return {
      id,
      address: id,
      service: "desk",
      domain: "a",
      labels: [],
      rack: "",
      capacity: CAPACITY,
      isDraining: false,
    };
  }
}

class NoAdvice extends AdviceService {
  override ask(): Promise<AdviceAnswer> {
    return Promise.resolve({ tickets: [], validMs: 0 });
  }
  override async close(): Promise<void> {}
}

/** One entry's way to the fake endpoints, with faults of its own. */
class FakeControl extends EndpointControl {
  readonly #site: OwnerSite;
  readonly #clock: LaneClock;
  /** Endpoints that this entry can't reach. */
  readonly cut = new Set<string>();

  constructor(site: OwnerSite, clock: LaneClock) {
    super();
    this.#site = site;
    this.#clock = clock;
  }

  override async start(
    target: EndpointTarget,
    order: StartRequest,
    options: { timeoutMs: number },
  ): Promise<StartAnswer> {
    const run: FakeRun = {
      task: order.task,
      run: order.run,
      endpoint: target.id,
      demand: this.#site.getDemand(order.task),
      endsAt: 0,
      how: EndKind.Done,
      pace: 100,
    };
    const result = await this.#send(target, options, (fake, now) => {
      if (fake.bornAt !== target.bornAt) return StartResult.OtherLifetime;
      run.endsAt = now + this.#site.drawRunTime();
      run.how = this.#site.drawEnd();
      const { fence, leaseUntil } = order;
      const started = fake.start({ run, fence, leaseUntil }, now);
      if (fake.runs.get(run.task) === run) this.#site.noteStart(fake, run);
      return started;
    }).catch(() => StartResult.Unknown);
    return { result, detail: "" };
  }

  override async stop(
    target: EndpointTarget,
    order: { task: string; run: number; fence: number },
    options: { timeoutMs: number },
  ): Promise<StopAnswer> {
    const result = await this.#send(
      target,
      options,
      (fake, now) => fake.stop(order, now),
    ).catch(() => StopResult.Unknown);
    return { result, detail: "" };
  }

  override async setPace(
    target: EndpointTarget,
    order: { task: string; run: number; percent: number; fence: number },
    options: { timeoutMs: number },
  ): Promise<PaceAnswer> {
    const result = await this.#send(
      target,
      options,
      (fake) => fake.setPace(order),
    ).catch(() => PaceResult.Unknown);
    return { result, detail: "" };
  }

  override async poll(
    target: EndpointTarget,
    order: PollRequest,
    options: { timeoutMs: number },
  ): Promise<PollAnswer> {
    const listing = await this.#send(target, options, (fake, now) => {
      return fake.hold(order, now) ?? null;
    });
    if (!listing) return { kind: PollResult.Deposed };
    // The answer waits for an end; the lists are those of the beginning.
    await this.#clock.sleep(Math.min(order.waitMs, 100));
    return { kind: PollResult.Listed, listing };
  }

  override async close(): Promise<void> {}

  async #send<T>(
    target: EndpointTarget,
    options: { timeoutMs: number },
    act: (fake: FakeEndpoint, now: number) => T,
  ): Promise<T> {
    await this.#clock.sleep(WAY_MS);
    const fake = this.#site.endpoints.get(target.id);
    if (!fake || this.cut.has(target.id)) {
      await this.#clock.sleep(options.timeoutMs);
      throw new NotSentError("Cannot connect");
    }
    const { time } = this.#site;
    const fate = this.#site.drawFate();
    if (fate === "late") {
      time.schedule("world", 1_000 + this.#site.random.drawInt(6_000), () => {
        act(fake, time.now);
      });
    }
    const answer = fate === "late" ? undefined : act(fake, time.now);
    if (fate !== "answered" || answer === undefined) {
      await this.#clock.sleep(options.timeoutMs);
      throw new UnknownEffectError("no answer");
    }
    await this.#clock.sleep(WAY_MS);
    return answer;
  }
}

/** One entry that may own the cell, with its store and its ways. */
export class OwnerEntry extends ElectionHost {
  readonly name: string;
  readonly store: MemoryStore;
  readonly control: FakeControl;
  readonly election: Election;
  role: OwnerRole | undefined;
  readonly #site: OwnerSite;
  readonly #clock: LaneClock;

  constructor(site: OwnerSite, name: string) {
    super();
    this.name = name;
    this.#site = site;
    this.#clock = new LaneClock(site.time, name);
    this.store = new MemoryStore(site.state, this.#clock);
    this.control = new FakeControl(site, this.#clock);
    this.election = new Election({
      store: this.store,
      clock: this.#clock,
      random: new SeededRandom(site.random.drawInt(1_000_000)),
      log: new SilentEventLog(),
      host: this,
      self: { entry: name, incarnation: `${name}/1`, host: name, port: 1 },
    });
    void this.election.run();
  }

  override handleOwnerChange(): void {}

  override beginOwnership(ownership: Ownership): void {
    this.role = new OwnerRole(ownership, {
      store: this.store,
      records: new IdRecords(),
      control: this.control,
      advice: new NoAdvice(),
      clock: this.#clock,
      log: new SilentEventLog(),
      metrics: new Metrics(),
      leaseMs: LEASE_MS,
      retentionMs: 1e9,
      takeOverPauseMs: 0,
      policies: DEFAULT_POLICIES,
      listLinks: () => [],
      listUnresponsive: () => [],
      onIsolated: () => {},
      getConfig: () => undefined,
      onDeposed: (reason) => this.election.noteDeposed(reason),
    });
    void this.role.start();
  }

  override endOwnership(): void {
    void this.role?.stop({ isPlanned: false });
    this.role = undefined;
  }

  /** Hands a job in; the callback tells that it was accepted. */
  submit(job: JobSpec, onAccepted: () => void): void {
    this.#site.noteJob(job);
    // A reply of an entry that is dead or frozen never comes.
    this.role?.submit(job).then((reply) => {
      if (!reply.isUnknown && reply.admission === "accepted") onAccepted();
    });
  }
}

/** Entries, a store in memory and fake endpoints on one virtual clock. */
export class OwnerSite {
  readonly time = new VirtualTime();
  readonly state = new MemoryState();
  readonly endpoints = new Map<string, FakeEndpoint>();
  readonly checker = new RuleChecker();
  readonly entries: OwnerEntry[] = [];
  readonly random: Random;
  readonly jobs = new Map<string, JobSpec>();
  lostPart = 0;

  constructor(seed: number, sizes: { entries: number; endpoints: number }) {
    this.random = new SeededRandom(seed);
    for (let n = 0; n < sizes.endpoints; n++) {
      const fake = new FakeEndpoint({
        id: `w${n}`,
        bornAt: this.time.now,
        capacity: CAPACITY,
      });
      fake.onEnd = (run, how) => this.checker.noteEnd(fake, run, how);
      fake.onForget = (task) => this.checker.known.delete(task);
      this.endpoints.set(fake.id, fake);
      this.state.put(`endpoints/${fake.id}`, "", 0);
    }
    for (let n = 0; n < sizes.entries; n++) this.addEntry();
    this.#watchEndpoints();
  }

  addEntry(): OwnerEntry {
    const entry = new OwnerEntry(this, `e${this.entries.length}`);
    this.entries.push(entry);
    return entry;
  }

  noteJob(job: JobSpec): void {
    this.jobs.set(job.id, job);
    this.checker.noteJob(job);
  }

  noteStart(endpoint: FakeEndpoint, run: FakeRun): void {
    this.checker.noteStart(this.endpoints, endpoint, run);
  }

  getDemand(task: string): FakeRun["demand"] {
    const [job, , step] = task.split(".");
    return this.jobs.get(job)?.steps[Number(step)].demand ?? CAPACITY;
  }

  drawRunTime(): number {
    return 50 + this.random.drawInt(2_500);
  }

  drawEnd(): EndKind {
    return this.random.drawFloat() < 0.03 ? EndKind.Failed : EndKind.Done;
  }

  /** What becomes of an order: answered, its answer lost, or carried out late. */
  drawFate(): "answered" | "lost" | "late" {
    if (this.random.drawFloat() >= this.lostPart) return "answered";
    return this.random.drawFloat() < 0.5 ? "lost" : "late";
  }

  /** Lets ends and lapsed leases happen on time. */
  #watchEndpoints(): void {
    this.time.schedule("world", 10, () => {
      for (const fake of this.endpoints.values()) fake.advance(this.time.now);
      this.#watchEndpoints();
    });
  }
}
