import type { Clock } from "../base/mod.ts";
import {
  CommitPurpose,
  CommitStatus,
  type ControlState,
} from "../control/mod.ts";
import { type Engine, EngineEventType } from "../engine/mod.ts";
import { EventCode, type EventLog } from "../events/mod.ts";
import { findBucket, LIMIT_BUCKETS, type TeamDemand } from "../limits/mod.ts";
import {
  createDomainRecord,
  type MembershipPlan,
  selectShardsToRelease,
} from "../membership/mod.ts";
import type { Store, VmList } from "../platform/mod.ts";
import { Committer } from "./committer.ts";
import type { ConfigService } from "./config_service.ts";
import { ACCEPT_TAKEOVER_MS, LIMIT_COMMITS_PER_SECOND } from "./constants.ts";
import type { EndpointDirectory } from "./endpoint_directory.ts";
import type { EngineDriver } from "./engine_driver.ts";
import type { KeyService } from "./key_service.ts";
import type { PauseGuard } from "./pause_guard.ts";
import type { PeerTable } from "./peer_table.ts";

/** State and services that the control loop uses. */
export interface ControlLoopParts {
  control: ControlState;
  config: ConfigService;
  directory: EndpointDirectory;
  driver: EngineDriver;
  peers: PeerTable;
  pause: PauseGuard;
  keyService: KeyService;
  store: Store;
  vmList: VmList;
  clock: Clock;
  log: EventLog;
  makeId: () => string;
  /** True when no accepted request is in flight on this entry. */
  isIdle: () => boolean;
  /** Called after this entry has left its failure domain. */
  onLeft: () => void;
}

/**
 * Synchronises one entry with the store and the VM list. Requests never wait
 * for this loop.
 */
export class ControlLoop {
  readonly #parts: ControlLoopParts;
  readonly #committer: Committer;
  /** Shards that this entry prepares to hand over. */
  #quiescingShards = new Set<number>();
  /**
   * The endpoints, shards and handed-over task counts last passed to the
   * engine, as JSON.
   */
  #appliedSignature = "";
  #isStoreUp = true;
  #isVmListUp = true;
  /**
   * Last time at which no staged version was waiting for acceptance, in
   * milliseconds since the Unix epoch.
   */
  #stagedSince = 0;
  #nextBucket = 0;
  /** True once this entry drains, which releases its shards and grants. */
  draining = false;

  constructor(parts: ControlLoopParts) {
    this.#parts = parts;
    this.#committer = new Committer({
      control: parts.control,
      store: parts.store,
      onStateChange: () => this.applyToEngine(),
    });
  }

  /** True once this entry has joined and the VM list has been read. */
  get isReady(): boolean {
    const { control, directory } = this.#parts;
    return control.hasJoined && directory.tracker.revision > 0;
  }

  /** True while shards are being prepared for handover. */
  get isHandingOver(): boolean {
    return this.#quiescingShards.size > 0;
  }

  /** Whether the store and the VM list answered their last calls. */
  get platform(): { store: boolean; vmList: boolean } {
    return { store: this.#isStoreUp, vmList: this.#isVmListUp };
  }

  /** Fetches the VM list and passes changes to the engine. */
  async readVmList(): Promise<void> {
    const { vmList, directory, clock } = this.#parts;
    const sentAt = clock.now();
    try {
      const listing = await vmList.fetchChanges(directory.tracker.revision);
      directory.observe(listing, sentAt);
      this.#recordVmListState(true);
      this.applyToEngine();
    } catch {
      this.#recordVmListState(false);
    }
  }

  /** Reads and adopts the shared records, then commits the needed changes. */
  async step(): Promise<void> {
    const { control, store, config } = this.#parts;
    const { version } = config.state.head;
    try {
      const snapshot = await store.read(control.listRanges());
      this.#adoptObservation(control.observe(snapshot));
      if (control.grants.coversLimits(config.listLimits())) {
        config.confirm(version);
      }
      this.#recordStoreState(true);
    } catch (error) {
      this.#recordStoreState(false, error);
      return;
    }
    await this.#changeMembership();
    await this.#changeLimits();
    await this.#finishAcceptance();
  }

  /**
   * Passes the owned shards to the key service, and the endpoints in them and
   * the grants to the engine.
   */
  applyToEngine(): void {
    const { control, directory, driver, clock, keyService, config } =
      this.#parts;
    const owned = control.listOwnedShards();
    keyService.setOwnedShards(owned, clock.now());
    const quiescing = new Set([
      ...this.#quiescingShards,
      ...control.listUncertainShards(),
    ]);
    const endpoints = directory.listByShards(owned);
    const handedOverTasks = control.countHandedOverTasks();
    const signature = JSON.stringify([
      endpoints,
      [...owned],
      [...quiescing],
      handedOverTasks,
    ]);
    if (signature !== this.#appliedSignature) {
      this.#appliedSignature = signature;
      driver.handle({
        type: EngineEventType.EndpointsChanged,
        endpoints,
        owned,
        quiescing,
        handedOverTasks,
      });
    }
    const grants = control.isExpelled()
      ? {}
      : control.grants.listGrants(config.listLimits());
    driver.handle({ type: EngineEventType.GrantsChanged, grants });
  }

  #adoptObservation(observation: ReturnType<ControlState["observe"]>): void {
    const { control, config, peers, log, pause } = this.#parts;
    if (observation.reverted) {
      log.record(EventCode.StoreReverted, {});
      return;
    }
    config.adoptStored(control.config);
    pause.noteStoreRead();
    if (control.isExpelled()) log.record(EventCode.Expelled, {});
    peers.setMembers(
      control.listMembers().filter(({ member }) =>
        member.incarnation !== control.self.incarnation
      ),
    );
    this.#selectQuiescingShards();
    this.applyToEngine();
  }

  async #changeMembership(): Promise<void> {
    const { control, log, makeId, clock, keyService } = this.#parts;
    const options = { writer: makeId(), now: clock.now() };
    const planned = control.planMembership(
      this.#buildMembershipView(),
      options,
    );
    if (planned?.purpose !== CommitPurpose.Membership) return;
    const { plan } = planned;
    await keyService.sendKeyRecords(plan);
    const status = await this.#committer.send(planned);
    if (status === CommitStatus.Unknown) {
      log.record(EventCode.WriteEffectUnknown, { key: "domain" });
      return;
    }
    keyService.cancelTransfers(
      control.listOwnedShards(),
      control.listUncertainShards(),
    );
    if (status !== CommitStatus.Succeeded) return;
    this.#recordMembership(plan);
    this.#selectQuiescingShards();
    this.applyToEngine();
  }

  async #changeLimits(): Promise<void> {
    const { control, config, driver, makeId } = this.#parts;
    const members = control.findDomain(control.domain)?.members ?? {};
    const holders = Object.values(members).map((member) => member.incarnation);
    const entryCount = Math.max(1, control.listMembers().length);
    let commitsLeft = Math.max(
      1,
      Math.floor(LIMIT_COMMITS_PER_SECOND / entryCount),
    );
    for (
      let bucketsTried = 0;
      bucketsTried < LIMIT_BUCKETS && commitsLeft > 0;
      bucketsTried++
    ) {
      const bucket = this.#nextBucket;
      this.#nextBucket = (bucket + 1) % LIMIT_BUCKETS;
      const planned = control.planLimits({
        holders,
        version: config.sequenceNumber,
        limits: config.listLimits(),
        demand: measureDemand(driver.engine, bucket),
        draining: this.draining,
      }, { bucket, writer: makeId() });
      if (!planned) continue;
      await this.#committer.send(planned);
      commitsLeft -= 1;
    }
  }

  /** Accepts a staged version that its initiator did not accept in time. */
  async #finishAcceptance(): Promise<void> {
    const { config, clock } = this.#parts;
    const { head } = config.state;
    const now = clock.now();
    if (head.accepted === head.version) {
      this.#stagedSince = now;
      return;
    }
    if (now - this.#stagedSince < ACCEPT_TAKEOVER_MS) return;
    await config.acceptStaged().catch(() => {});
  }

  #buildMembershipView() {
    const { control, directory, driver, peers, clock, isIdle } = this.#parts;
    const now = clock.now();
    const record = control.findDomain(control.domain);
    const owned = control.listOwnedShards();
    const members = Object.values(record?.members ?? {}).map((
      { incarnation, vm },
    ) => ({ id: incarnation, vm }));
    const reachable = peers.listReachable(now)
      .filter((peer) =>
        peer.domain === control.domain && !peer.heartbeat?.draining
      );
    return {
      draining: this.draining,
      idle: isIdle(),
      gone: directory.tracker.findGone(members, now),
      reachable: new Set(reachable.map((peer) => peer.member.incarnation)),
      shardSizes: directory.countByShard(),
      quiesced: driver.engine.listQuiesced(this.#quiescingShards),
      // Before the first VM list every shard seems to have no endpoints and
      // would count as recovered.
      recovered: directory.tracker.revision > 0
        ? driver.engine.listRecovered(owned)
        : new Map(),
    };
  }

  #selectQuiescingShards(): void {
    const { control, clock } = this.#parts;
    const record = control.findDomain(control.domain) ??
      createDomainRecord(clock.now());
    const view = {
      ...this.#buildMembershipView(),
      self: control.self,
      hasJoined: true,
    };
    this.#quiescingShards = new Set(selectShardsToRelease(record, view));
  }

  #recordMembership(plan: MembershipPlan): void {
    const { log, onLeft } = this.#parts;
    if (plan.joined) log.record(EventCode.DomainJoined, {});
    for (const incarnation of plan.removedMembers) {
      log.record(EventCode.MemberBuried, { incarnation });
    }
    const shardEvents: [EventCode, number[]][] = [
      [EventCode.ShardsClaimed, plan.claimed],
      [EventCode.ShardsReleased, plan.released],
      [EventCode.ShardsRecovered, plan.recovered],
    ];
    for (const [code, shards] of shardEvents) {
      if (shards.length > 0) log.record(code, { shards: shards.length });
    }
    if (plan.left) onLeft();
  }

  #recordStoreState(isUp: boolean, error?: unknown): void {
    if (isUp === this.#isStoreUp) return;
    this.#isStoreUp = isUp;
    this.#parts.log.record(
      isUp ? EventCode.StoreRecovered : EventCode.StoreUnavailable,
      error ? { error: String(error) } : {},
    );
  }

  #recordVmListState(isUp: boolean): void {
    if (isUp === this.#isVmListUp) return;
    this.#isVmListUp = isUp;
    this.#parts.log.record(
      isUp ? EventCode.VmListRecovered : EventCode.VmListUnavailable,
    );
  }
}

function measureDemand(
  engine: Engine,
  bucket: number,
): Map<string, TeamDemand> {
  const demand = new Map<string, TeamDemand>();
  for (const team of engine.state.listTeams()) {
    if (findBucket(team) !== bucket) continue;
    demand.set(team, engine.measureDemand(team));
  }
  return demand;
}
