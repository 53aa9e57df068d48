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

/** What the control loop works on. */
export interface ControlLoopParts {
  control: ControlState;
  config: ConfigService;
  directory: EndpointDirectory;
  driver: EngineDriver;
  peers: PeerTable;
  pause: PauseGuard;
  keys: KeyService;
  store: Store;
  vmList: VmList;
  clock: Clock;
  log: EventLog;
  makeId: () => string;
  /** True when no accepted request is in flight on this entry. */
  isIdle: () => boolean;
  onLeft: () => void;
}

/** Keeps one entry in step with the platform. No request waits for it. */
export class ControlLoop {
  readonly #parts: ControlLoopParts;
  readonly #committer: Committer;
  #quiescing = new Set<number>();
  #appliedEndpoints = "";
  #storeUp = true;
  #vmListUp = true;
  #stagedSince = 0;
  #nextBucket = 0;
  draining = false;

  constructor(parts: ControlLoopParts) {
    this.#parts = parts;
    this.#committer = new Committer({
      control: parts.control,
      store: parts.store,
      onEffect: () => this.applyToEngine(),
    });
  }

  /** True once the store and the VM list have been read. */
  get isReady(): boolean {
    const { control, directory } = this.#parts;
    return control.hasJoined && directory.tracker.revision > 0;
  }

  /** True while shards wait to be handed over. */
  get isHandingOver(): boolean {
    return this.#quiescing.size > 0;
  }

  /** Whether the platform's services answered the last call. */
  get platform(): { store: boolean; vmList: boolean } {
    return { store: this.#storeUp, vmList: this.#vmListUp };
  }

  /** Reads the VM list. */
  async readVmList(): Promise<void> {
    const { vmList, directory, clock } = this.#parts;
    const sentAt = clock.now();
    try {
      const listing = await vmList.fetch(directory.tracker.revision);
      directory.observe(listing, sentAt);
      this.#noteVmList(true);
      this.applyToEngine();
    } catch {
      this.#noteVmList(false);
    }
  }

  /** Reads the shared records, adopts them, and writes what has to change. */
  async step(): Promise<void> {
    const { control, store, config } = this.#parts;
    const { version } = config.state.head;
    try {
      const snapshot = await store.read(control.listRanges());
      this.#observe(control.observe(snapshot));
      if (control.grants.coversLimits(config.listLimits())) {
        config.confirm(version);
      }
      this.#noteStore(true);
    } catch (error) {
      this.#noteStore(false, error);
      return;
    }
    await this.#changeMembership();
    await this.#changeLimits();
    await this.#acceptConfig();
  }

  /** Tells the engine what it owns and what it may run. */
  applyToEngine(): void {
    const { control, directory, driver, clock, keys, config } = this.#parts;
    const owned = control.listOwnedShards();
    keys.noteOwned(owned, clock.now());
    const quiescing = new Set([
      ...this.#quiescing,
      ...control.listUncertainShards(),
    ]);
    const endpoints = directory.listOfShards(owned);
    const leftBehind = control.countLeftBehind();
    const signature = JSON.stringify([
      endpoints,
      [...owned],
      [...quiescing],
      leftBehind,
    ]);
    if (signature !== this.#appliedEndpoints) {
      this.#appliedEndpoints = signature;
      driver.handle({
        type: EngineEventType.EndpointsChanged,
        endpoints,
        owned,
        quiescing,
        leftBehind,
      });
    }
    const grants = control.isExpelled()
      ? {}
      : control.grants.listGrants(config.listLimits());
    driver.handle({ type: EngineEventType.GrantsChanged, grants });
  }

  #observe(observation: ReturnType<ControlState["observe"]>): void {
    const { control, config, peers, log, pause } = this.#parts;
    if (observation.reverted) {
      log.record(EventCode.StoreReverted, {});
      return;
    }
    config.adoptStored(control.config);
    pause.noteStore();
    if (control.isExpelled()) log.record(EventCode.Expelled, {});
    peers.setMembers(
      control.listMembers().filter(({ member }) =>
        member.incarnation !== control.self.incarnation
      ),
    );
    this.#selectQuiescing();
    this.applyToEngine();
  }

  async #changeMembership(): Promise<void> {
    const { control, log, makeId, clock, keys } = this.#parts;
    const options = { writer: makeId(), now: clock.now() };
    const planned = control.planMembership(this.#makeView(), options);
    if (planned?.purpose !== CommitPurpose.Membership) return;
    const { plan } = planned;
    await keys.sendHistory(plan);
    const status = await this.#committer.send(planned);
    if (status === CommitStatus.Unknown) {
      log.record(EventCode.WriteEffectUnknown, { key: "domain" });
      return;
    }
    keys.cancelTransfers(
      control.listOwnedShards(),
      control.listUncertainShards(),
    );
    if (status !== CommitStatus.Succeeded) return;
    this.#recordMembership(plan);
    this.#selectQuiescing();
    this.applyToEngine();
  }

  async #changeLimits(): Promise<void> {
    const { control, config, driver, makeId } = this.#parts;
    const members = control.findDomain(control.domain)?.members ?? {};
    const holders = Object.values(members).map((member) => member.incarnation);
    const entries = Math.max(1, control.listMembers().length);
    let left = Math.max(1, Math.floor(LIMIT_COMMITS_PER_SECOND / entries));
    for (let turn = 0; turn < LIMIT_BUCKETS && left > 0; turn++) {
      const bucket = this.#nextBucket;
      this.#nextBucket = (bucket + 1) % LIMIT_BUCKETS;
      const planned = control.planLimits({
        holders,
        version: config.order,
        limits: config.listLimits(),
        demand: measureDemand(driver.engine, bucket),
        draining: this.draining,
      }, { bucket, writer: makeId() });
      if (!planned) continue;
      await this.#committer.send(planned);
      left -= 1;
    }
  }

  /** Takes up an acceptance whose initiator did not finish it. */
  async #acceptConfig(): Promise<void> {
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

  #makeView() {
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
      quiesced: driver.engine.listQuiesced(this.#quiescing),
      // Before the first VM list a shard looks as if it had no endpoints.
      recovered: directory.tracker.revision > 0
        ? driver.engine.listRecovered(owned)
        : new Map(),
    };
  }

  #selectQuiescing(): void {
    const { control, clock } = this.#parts;
    const record = control.findDomain(control.domain) ??
      createDomainRecord(clock.now());
    const view = { ...this.#makeView(), self: control.self, hasJoined: true };
    this.#quiescing = new Set(selectShardsToRelease(record, view));
  }

  #recordMembership(plan: MembershipPlan): void {
    const { log, onLeft } = this.#parts;
    if (plan.joined) log.record(EventCode.DomainJoined, {});
    for (const incarnation of plan.buried) {
      log.record(EventCode.MemberBuried, { incarnation });
    }
    const lists: [EventCode, number[]][] = [
      [EventCode.ShardsClaimed, plan.claimed],
      [EventCode.ShardsReleased, plan.released],
      [EventCode.ShardsRecovered, plan.recovered],
    ];
    for (const [code, shards] of lists) {
      if (shards.length > 0) log.record(code, { shards: shards.length });
    }
    if (plan.left) onLeft();
  }

  #noteStore(isUp: boolean, error?: unknown): void {
    if (isUp === this.#storeUp) return;
    this.#storeUp = isUp;
    this.#parts.log.record(
      isUp ? EventCode.StoreRecovered : EventCode.StoreUnavailable,
      error ? { error: String(error) } : {},
    );
  }

  #noteVmList(isUp: boolean): void {
    if (isUp === this.#vmListUp) return;
    this.#vmListUp = isUp;
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
