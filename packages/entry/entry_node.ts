import {
  Cause,
  computeRetryAfter,
  makeNotRunOutcome,
  type Outcome,
  SECOND_MS,
} from "../base/mod.ts";
import type { Configuration } from "../config/mod.ts";
import type { ControlState } from "../control/mod.ts";
import { EngineEventType } from "../engine/mod.ts";
import { EventCode } from "../events/mod.ts";
import type { KeyBegin, KeyState } from "../idempotency/mod.ts";
import type { Member } from "../membership/mod.ts";
import {
  type Heartbeat,
  PEER_TIMEOUT_MS,
  type WorkView,
} from "../peers/mod.ts";
import {
  type FleetCapacity,
  Pipeline,
  PipelineHost,
  type RawRequest,
} from "../pipeline/mod.ts";
import type { OwnerCandidate, RoutedWork, Router } from "../routing/mod.ts";
import type { ConfigService } from "./config_service.ts";
import {
  CONTROL_INTERVAL_MS,
  DRAIN_HANDOVER_MS,
  EXPIRE_INTERVAL_MS,
  FAST_CONTROL_INTERVAL_MS,
  TICK_INTERVAL_MS,
  WORK_RETENTION_MS,
} from "./constants.ts";
import type { ControlLoop } from "./control_loop.ts";
import type { EndpointPoller } from "./endpoint_poller.ts";
import type { EngineDriver } from "./engine_driver.ts";
import {
  listCandidates,
  measureFleetCapacity,
  measureLoad,
} from "./fleet_view.ts";
import type { Heartbeats } from "./heartbeats.ts";
import type { KeyService } from "./key_service.ts";
import { Loop } from "./loop.ts";
import type { PauseGuard } from "./pause_guard.ts";
import type { PeerTable } from "./peer_table.ts";
import type { EntryParts, EntryServices } from "./types.ts";
import { WorkRegistry } from "./work_registry.ts";

/** One entry without its listening sockets. */
export class EntryNode extends PipelineHost {
  readonly parts: EntryParts;
  readonly member: Member;
  readonly control: ControlState;
  readonly config: ConfigService;
  readonly driver: EngineDriver;
  readonly peers: PeerTable;
  readonly heartbeats: Heartbeats;
  readonly workRegistry: WorkRegistry;
  readonly keyService: KeyService;
  readonly controlLoop: ControlLoop;
  readonly #pause: PauseGuard;
  readonly #pipeline: Pipeline;
  readonly #router: Router;
  readonly #poller: EndpointPoller;
  readonly #loops: Loop[];
  readonly #controlStepLoop: Loop;
  #hasLeft = false;
  #recordedDropCount = 0;
  #drainPromise: Promise<void> | undefined;

  constructor(parts: EntryParts, services: EntryServices) {
    super();
    const { clock, metrics, log } = parts;
    this.parts = parts;
    this.workRegistry = new WorkRegistry(parts.settings.work.kept_outcomes);
    this.member = services.control.self;
    this.control = services.control;
    this.config = services.config;
    this.driver = services.driver;
    this.peers = services.peers;
    this.heartbeats = services.heartbeats;
    this.keyService = services.keyService;
    this.controlLoop = services.controlLoop;
    this.#pause = services.pause;
    this.#router = services.router;
    this.#poller = services.poller;
    this.#pipeline = new Pipeline({ host: this, clock, metrics, log });
    this.#controlStepLoop = new Loop(clock, {
      step: () => this.controlLoop.step(),
      intervalMs: () => this.#computeControlInterval(),
      onError: (error) => this.#recordLoopFailure(error),
    });
    this.#loops = [this.#controlStepLoop, ...this.#createLoops()];
  }

  /** Runs the next step of the control loop at once. */
  runControlStep(): void {
    this.#controlStepLoop.runNow();
  }

  /** Records that this entry has left its failure domain. */
  noteDeparture(): void {
    this.#hasLeft = true;
  }

  /** Lists the entries that work may be sent to, with this one first. */
  listCandidates(now: number): OwnerCandidate[] {
    const { control, peers } = this;
    const engine = this.driver.engine.state;
    return listCandidates({ control, peers, engine }, now);
  }

  /** Starts the loops. */
  start(): void {
    const { vm, incarnation } = this.member;
    this.parts.log.record(EventCode.EntryStarted, { vm, incarnation });
    for (const loop of this.#loops) loop.start();
  }

  /**
   * Starts one request in the pipeline. Returns its id, a promise of its outcome,
   * and one that resolves once the work has passed all checks; that one never
   * resolves for a request that a check refuses.
   */
  submit(
    raw: Omit<RawRequest, "id" | "arrivedAt">,
  ): { id: string; outcome: Promise<Outcome>; dispatched: Promise<void> } {
    const { id: vm, domain } = this.parts.settings.vm;
    const id = `${domain}~${vm}~${this.parts.makeId()}`;
    const arrivedAt = this.parts.clock.now();
    const context = this.#pipeline.createContext({ ...raw, id, arrivedAt });
    this.workRegistry.add(context);
    const dispatched = new Promise<void>((resolve) =>
      context.onDispatched = resolve
    );
    const outcome = this.#pipeline.run(context).then((settledOutcome) => {
      const now = this.parts.clock.now();
      this.workRegistry.finish(id, settledOutcome, { now });
      return settledOutcome;
    });
    return { id, outcome, dispatched };
  }

  /** Finds work of a team at the entry that received it. */
  async findWork(id: string, team: string): Promise<WorkView | null> {
    const peer = this.#findReceivingEntry(id);
    if (!peer) return this.workRegistry.describe(id, team);
    return await this.parts.peers.call("work.find", {
      target: peer.incarnation,
      id,
      team,
    }, { address: peer.peers, timeoutMs: PEER_TIMEOUT_MS });
  }

  /** Cancels work of a team at the entry that received it. */
  async cancelWork(id: string, team: string): Promise<WorkView | null> {
    const peer = this.#findReceivingEntry(id);
    if (!peer) return await this.cancelLocalWork(id, team);
    return await this.parts.peers.call("work.cancel", {
      target: peer.incarnation,
      id,
      team,
    }, { address: peer.peers, timeoutMs: PEER_TIMEOUT_MS });
  }

  /** Cancels work that this entry received. Returns its state afterwards. */
  async cancelLocalWork(id: string, team: string): Promise<WorkView | null> {
    const context = this.workRegistry.findCancellable(id, team);
    if (context?.routed) await this.#router.cancel(context.routed);
    return this.workRegistry.describe(id, team);
  }

  /**
   * Refuses new work, hands the endpoints over, waits for work in flight, and
   * leaves the failure domain. After `DRAIN_HANDOVER_MS` an idle entry stops
   * waiting for the handover.
   */
  drain(): Promise<void> {
    this.#drainPromise ??= this.#drain();
    return this.#drainPromise;
  }

  /** Stops all loops and closes the connections. */
  async stop(): Promise<void> {
    for (const loop of this.#loops) loop.stop();
    const { store, vmList, endpoints, peers, log } = this.parts;
    await Promise.all([
      store.close(),
      vmList.close(),
      endpoints.close(),
      peers.close(),
    ]);
    log.record(EventCode.EntryStopped);
  }

  /** True when no accepted request is in flight here. */
  isIdle(): boolean {
    return this.workRegistry.pending === 0 && this.driver.engine.isIdle();
  }

  /** True while this entry drains. */
  get isDraining(): boolean {
    return this.controlLoop.draining;
  }

  /** Returns the heartbeat that this entry sends to its peers. */
  describeSelf(): Heartbeat {
    const now = this.parts.clock.now();
    return {
      incarnation: this.member.incarnation,
      head: this.config.state.head,
      confirmed: this.config.confirmed,
      draining: this.isDraining,
      load: measureLoad(this.driver.engine.state, now),
    };
  }

  override getConfiguration(): Configuration {
    return this.config.state.effective;
  }

  override checkAdmission(now: number): Outcome | undefined {
    const retryAfterMs = computeRetryAfter(SECOND_MS, this.parts.random);
    if (this.isDraining) {
      const detail = "this entry is draining";
      return makeNotRunOutcome(Cause.Draining, detail, { retryAfterMs });
    }
    if (this.isReady() && !this.#pause.isStale(now)) return undefined;
    const detail =
      "this entry is not ready: its view of the fleet is incomplete or stale";
    return makeNotRunOutcome(Cause.NotReady, detail, { retryAfterMs });
  }

  override measureFleetCapacity(now: number): FleetCapacity {
    const isComplete = this.control.isWholeFleetOwned() &&
      this.peers.list().every((peer) => this.peers.isReachable(peer, now));
    return measureFleetCapacity(this.listCandidates(now), isComplete);
  }

  override async beginKey(begin: KeyBegin): Promise<KeyState> {
    return await this.keyService.begin(begin);
  }

  override finishKey(begin: KeyBegin, outcome: Outcome): void {
    void this.keyService.finish(begin, outcome);
  }

  override async route(routed: RoutedWork): Promise<Outcome> {
    return await this.#router.route(routed);
  }

  /** True once this entry can accept work. */
  isReady(): boolean {
    return this.controlLoop.isReady && this.config.state.head.version > 0 &&
      !this.control.isExpelled();
  }

  #recordLoopFailure(error: unknown): void {
    this.parts.metrics.countEvent("loop_failures");
    const fields = { error: String(error) };
    this.parts.log.record(EventCode.InvariantBroken, fields);
  }

  #tick(): void {
    const now = this.parts.clock.now();
    const pausedMs = this.#pause.tick(now);
    if (pausedMs > 0) {
      this.parts.log.record(EventCode.LoopPaused, { paused_ms: pausedMs });
      this.#controlStepLoop.runNow();
    }
    this.driver.handle({ type: EngineEventType.Tick });
    this.#poller.pollDue();
  }

  /** Records once a second how many outcomes were dropped for lack of room. */
  #recordDroppedOutcomes(): void {
    const { metrics, log } = this.parts;
    const { droppedCount } = this.workRegistry;
    const added = droppedCount - this.#recordedDropCount;
    if (added === 0) return;
    this.#recordedDropCount = droppedCount;
    metrics.setGauge("outcomes_dropped", droppedCount);
    log.record(EventCode.LimitsMet, { address: "work", kept_outcomes: added });
  }

  #expire(): void {
    const now = this.parts.clock.now();
    this.workRegistry.expire(now - WORK_RETENTION_MS);
    this.#recordDroppedOutcomes();
    this.keyService.expire(now);
  }

  #createLoops(): Loop[] {
    const { clock, settings } = this.parts;
    const { heartbeat_ms } = settings.peers;
    const createLoop = (intervalMs: number, step: () => Promise<void> | void) =>
      new Loop(clock, {
        step,
        intervalMs: () => intervalMs,
        onError: (error) => this.#recordLoopFailure(error),
      });
    return [
      createLoop(CONTROL_INTERVAL_MS, () => this.controlLoop.readVmList()),
      createLoop(heartbeat_ms, () => this.heartbeats.sendRound()),
      createLoop(TICK_INTERVAL_MS, () => this.#tick()),
      createLoop(EXPIRE_INTERVAL_MS, () => this.#expire()),
    ];
  }

  /**
   * Passes the shares of a new configuration to the engine and runs the control
   * loop, which confirms the configuration.
   */
  adoptConfiguration(): void {
    const shares: Record<string, number> = {};
    for (const [name, team] of Object.entries(this.getConfiguration().teams)) {
      shares[name] = team.share;
    }
    this.driver.handle({ type: EngineEventType.SharesChanged, shares });
    this.#controlStepLoop.runNow();
  }

  #computeControlInterval(): number {
    const { confirmed, state } = this.config;
    const isConfigUnconfirmed = confirmed < state.head.version;
    return this.controlLoop.isHandingOver || this.isDraining ||
        !this.controlLoop.isReady || isConfigUnconfirmed
      ? FAST_CONTROL_INTERVAL_MS
      : CONTROL_INTERVAL_MS;
  }

  /**
   * Returns the entry that received the work; undefined if this entry did, or
   * if its VM is no longer a member.
   */
  #findReceivingEntry(id: string): Member | undefined {
    const [domain, vm] = id.split("~");
    if (vm === this.member.vm && domain === this.control.domain) {
      return undefined;
    }
    return this.control.findDomain(domain)?.members[vm];
  }

  async #drain(): Promise<void> {
    const { log, clock } = this.parts;
    log.record(EventCode.DrainStarted);
    this.controlLoop.draining = true;
    this.driver.handle({ type: EngineEventType.Drain });
    this.heartbeats.sendTo(
      this.peers.list().map((peer) => peer.member.incarnation),
    );
    this.#controlStepLoop.runNow();
    const waitUntil = clock.now() + DRAIN_HANDOVER_MS;
    while (!this.#hasLeft && !(this.isIdle() && clock.now() >= waitUntil)) {
      await clock.sleep(TICK_INTERVAL_MS);
    }
    log.record(EventCode.DrainFinished, { left: this.#hasLeft });
  }
}
