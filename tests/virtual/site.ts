import {
  type Outcome,
  SeededRandom,
  Verdict,
  WorkKind,
} from "../../packages/base/mod.ts";
import {
  type Configuration,
  createKey,
  splitConfiguration,
} from "../../packages/config/mod.ts";
import { CONFIG_PREFIX } from "../../packages/control/mod.ts";
import { SampledPlacement } from "../../packages/engine/mod.ts";
import {
  assembleEntryNode,
  createPeerHandlers,
  type EntryNode,
} from "../../packages/entry/mod.ts";
import {
  EventCode,
  type EventFields,
  EventLog,
} from "../../packages/events/mod.ts";
import { Metrics } from "../../packages/metrics/mod.ts";
import { type Vm, VmRole, VmState } from "../../packages/platform/mod.ts";
import type { Settings } from "../../packages/settings/mod.ts";
import { FakeEndpointClient, FakeEndpoints } from "./fake_endpoints.ts";
import { FakeNetwork, FakePeerClient } from "./fake_network.ts";
import {
  FakeStore,
  FakeStoreState,
  FakeVmList,
  FakeVmListState,
} from "./fake_platform.ts";
import { LaneClock, VirtualTime } from "./virtual_time.ts";

/** Failure domains, entries and endpoints of the virtual site. */
export const DOMAINS = ["a", "b", "c"];
export const ENTRIES_PER_DOMAIN = 2;
const ENDPOINTS_PER_DOMAIN = 3;
const SLOTS = 3;
const CORES = 4;

/** Teams with their limits; one limit is below the number of entries. */
export const TEAM_LIMITS: Record<string, number> = {
  ox: 3,
  ibis: 8,
  ceiba: 20,
};

/** A running entry and its lane. */
export interface SiteNode {
  vm: string;
  domain: string;
  lane: string;
  node: EntryNode;
}

/** One request of the load and what came of it. */
export interface SiteRequest {
  id: string;
  ref: string;
  team: string;
  tasks: number;
  sentAt: number;
  lane: string;
  keyRevokedAt: number | undefined;
  outcome?: Outcome;
}

/** Several entries in one process on virtual time, with fakes around them. */
export class Site {
  readonly time = new VirtualTime();
  readonly random: SeededRandom;
  readonly network: FakeNetwork;
  readonly store = new FakeStoreState();
  readonly vmList = new FakeVmListState();
  readonly endpoints: FakeEndpoints;
  readonly nodes = new Map<string, SiteNode>();
  readonly requests: SiteRequest[] = [];
  readonly brokenInvariants: string[] = [];
  readonly platformCuts = new Set<string>();
  readonly keys = new Map<string, string>();
  readonly original: Configuration;
  configuration: Configuration;
  invariantChecks = 0;
  /** Teams whose key is certainly withdrawn, and since when. */
  readonly revokedAt = new Map<string, number>();
  #acceptedVersion = 0;
  #acceptedLimits: Record<string, number> = {};
  #pendingLimits: { version: number; limits: Record<string, number> }[] = [];
  readonly #grantedAt = new Map<string, number>();
  /** Changes under way that hold a team's key, by team. */
  readonly #granting = new Map<string, number>();
  /** The configuration's records as they were when the load began. */
  firstConfig = new Map<string, string>();
  #sequence = 0;
  #loading = true;

  constructor(seed: number) {
    this.random = new SeededRandom(seed);
    this.network = new FakeNetwork(this.time, this.random);
    this.endpoints = new FakeEndpoints(this.time, this.random);
    this.endpoints.findLimitOf = (team) => this.#findLimit(team);
    this.configuration = this.#makeConfiguration();
    this.original = this.configuration;
  }

  /** Starts all entries, applies the configuration and waits for service. */
  async start(): Promise<void> {
    for (const domain of DOMAINS) {
      for (let n = 0; n < ENDPOINTS_PER_DOMAIN; n++) {
        this.addEndpoint(domain, `${domain}-w${n}`);
      }
      for (let n = 0; n < ENTRIES_PER_DOMAIN; n++) {
        this.startNode(domain, `${domain}${n}`);
      }
    }
    await this.time.advance(3_000);
    void this.apply(this.configuration);
    await this.time.advance(6_000);
    this.firstConfig = this.store.copyValues(CONFIG_PREFIX);
  }

  /** Adds an endpoint VM. */
  addEndpoint(domain: string, id: string): void {
    const vm: Vm = {
      id,
      role: VmRole.Endpoint,
      domain,
      rack: `${domain}-r`,
      state: VmState.Live,
      address: id,
      size: { cores: CORES, memoryMb: 4_096, accelerators: 0 },
      slots: SLOTS,
      connections: 16,
    };
    this.endpoints.add(vm);
    this.vmList.add(vm);
  }

  /** Starts a process on a VM; an earlier one there must have ended. */
  startNode(domain: string, vm: string): SiteNode {
    const lane = `${vm}#${this.#sequence++}`;
    const clock = new LaneClock(this.time, lane);
    const settings = makeSettings(domain, vm);
    const random = new SeededRandom(this.random.drawInt(1 << 30));
    const link = {
      time: this.time,
      lane,
      random,
      isUp: () => !this.platformCuts.has(domain),
    };
    const node = assembleEntryNode({
      settings,
      clock,
      random,
      store: new FakeStore(this.store, link),
      vmList: new FakeVmList(this.vmList, { domain, link }),
      endpoints: new FakeEndpointClient(this.endpoints, lane),
      peers: new FakePeerClient(this.network, { lane, domain }),
      placement: new SampledPlacement(random),
      log: new InvariantLog(this.brokenInvariants),
      metrics: new Metrics(),
      makeId: () => `id-${String(this.#sequence++).padStart(8, "0")}`,
    });
    const { peers } = node.member;
    const handlers = createPeerHandlers(node);
    this.network.listeners.set(peers, { lane, domain, handlers });
    this.vmList.add(makeEntryVm(domain, vm));
    const started = { vm, domain, lane, node };
    this.nodes.set(vm, started);
    this.time.schedule(lane, 0, () => node.start());
    return started;
  }

  /** Ends a process at once. */
  killNode(vm: string): void {
    const entry = this.nodes.get(vm);
    if (!entry) return;
    this.nodes.delete(vm);
    this.time.kill(entry.lane);
    this.network.breakCalls(entry.lane);
  }

  /** A planned stop must not cut a request that was taken in. */
  noteDrained(entry: SiteNode): void {
    this.invariantChecks += 1;
    for (const { lane, id, outcome } of this.requests) {
      if (lane !== entry.lane || !id || outcome) continue;
      this.brokenInvariants.push(`${id} was cut by a drain`);
    }
  }

  /** Lists the processes that take calls. */
  listAlive(): SiteNode[] {
    return [...this.nodes.values()].filter(({ lane }) =>
      !this.time.isFrozen(lane)
    );
  }

  /** Applies a configuration through any entry. */
  async apply(next: Configuration): Promise<void> {
    const alive = this.listAlive();
    if (alive.length === 0) return;
    const { node } = alive[this.random.drawInt(alive.length)];
    const base = node.config.state.head.version;
    const limits = Object.fromEntries(
      Object.entries(next.teams).map(([name, team]) => [name, team.limit]),
    );
    this.#pendingLimits.push({ version: base + 1, limits });
    const items = splitConfiguration(next);
    const options = { base, author: "test" };
    const startedAt = this.time.now;
    for (const team of Object.keys(next.keys)) {
      // What grants takes force at acceptance, before apply returns.
      this.#grantedAt.set(team, startedAt);
      this.revokedAt.delete(team);
    }
    this.#countGranting(next, 1);
    const result = await node.config.apply(items, options).catch(() => null);
    this.#countGranting(next, -1);
    // The answer for an earlier version may come after that for a later one.
    if (!result?.accepted || result.version < this.#acceptedVersion) return;
    this.#acceptedVersion = result.version;
    this.configuration = next;
    this.#acceptedLimits = limits;
    this.#pendingLimits = this.#pendingLimits.filter(({ version }) =>
      version > result.version
    );
    for (const team of Object.keys(TEAM_LIMITS)) {
      const isGrantedAgain = this.#grantedAt.get(team)! >= startedAt;
      // An earlier change that is still under way may become a later version.
      const isGranting = (this.#granting.get(team) ?? 0) > 0;
      if (isGrantedAgain || isGranting || this.revokedAt.has(team)) continue;
      this.revokedAt.set(team, this.time.now);
    }
  }

  /** Sends requests at random until the load is stopped. */
  sendLoad(intervalMs: number): void {
    if (!this.#loading) return;
    const pause = 1 + this.random.drawInt(intervalMs * 2);
    this.time.schedule("clients", pause, () => {
      this.#sendRandom();
      this.sendLoad(intervalMs);
    });
  }

  /** Stops the load. */
  stopLoad(): void {
    this.#loading = false;
  }

  /** Sends one request to an entry; a keyed one is retried elsewhere. */
  send(
    entry: SiteNode,
    form: {
      team: string;
      ref: string;
      runMs: number;
      kind?: WorkKind;
      tasks?: number;
      cores?: number;
      timeoutMs?: number;
      idempotencyKey?: string;
    },
  ): SiteRequest {
    const request: SiteRequest = {
      id: "",
      ref: form.ref,
      team: form.team,
      tasks: form.tasks ?? 1,
      sentAt: this.time.now,
      lane: entry.lane,
      keyRevokedAt: this.revokedAt.get(form.team),
    };
    this.requests.push(request);
    this.time.schedule(entry.lane, 1, () => {
      const { id, outcome } = entry.node.submit({
        queue: "all",
        authorization: `Bearer ${this.keys.get(form.team)}`,
        idempotencyKey: form.idempotencyKey,
        body: JSON.stringify({
          kind: form.kind,
          tasks: form.tasks,
          cores: form.cores,
          memory_mb: 64,
          timeout_ms: form.timeoutMs ?? 4_000,
          payload: { ref: form.ref, run_ms: form.runMs },
        }),
      });
      request.id = id;
      outcome.then((settled) => request.outcome = settled);
    });
    return request;
  }

  #countGranting(next: Configuration, change: number): void {
    for (const team of Object.keys(next.keys)) {
      this.#granting.set(team, (this.#granting.get(team) ?? 0) + change);
    }
  }

  #sendRandom(): void {
    const alive = this.listAlive();
    if (alive.length === 0) return;
    const pick = <T>(list: T[]) => list[this.random.drawInt(list.length)];
    const roll = this.random.drawFloat();
    const team = pick(Object.keys(TEAM_LIMITS));
    const ref = `r${this.#sequence++}`;
    const runMs = 20 + this.random.drawInt(400);
    const entry = pick(alive);
    if (roll < 0.04) {
      const tasks = 2 + this.random.drawInt(3);
      this.send(entry, { team, ref: "", runMs, tasks, kind: WorkKind.Gang });
      return;
    }
    if (roll < 0.08) {
      const request = this.send(entry, {
        team,
        ref,
        runMs,
        kind: WorkKind.Service,
      });
      const lifeMs = 500 + this.random.drawInt(4_000);
      this.time.schedule("clients", lifeMs, () => this.#cancel(request));
      return;
    }
    const cores = 1 + this.random.drawInt(2);
    if (roll < 0.5) {
      const request = this.send(entry, { team, ref, runMs, cores });
      if (roll < 0.15) {
        const afterMs = this.random.drawInt(600);
        this.time.schedule("clients", afterMs, () => this.#cancel(request));
      }
      return;
    }
    const idempotencyKey = `${pick(DOMAINS)}/${this.#makeUuid()}`;
    const form = { team, ref, runMs, cores, idempotencyKey };
    const first = this.send(entry, form);
    this.#retryLater(first, form, 3);
  }

  #retryLater(
    request: SiteRequest,
    form: Parameters<Site["send"]>[1],
    left: number,
  ): void {
    const waitMs = 200 + this.random.drawInt(3_000);
    this.time.schedule("clients", waitMs, () => {
      const alive = this.listAlive();
      if (request.outcome?.verdict === Verdict.Ran) return;
      if (left === 0 || alive.length === 0) return;
      const entry = alive[this.random.drawInt(alive.length)];
      this.#retryLater(this.send(entry, form), form, left - 1);
    });
  }

  #cancel(request: SiteRequest): void {
    const alive = this.listAlive();
    if (!request.id || alive.length === 0) return;
    const entry = alive[this.random.drawInt(alive.length)];
    this.time.schedule(entry.lane, 1, () => {
      entry.node.cancelWork(request.id, request.team).catch(() => {});
    });
  }

  /** A UUID of version 7 for the virtual present. */
  #makeUuid(): string {
    const time = this.time.now.toString(16).padStart(12, "0");
    const tail = String(this.#sequence++).padStart(12, "0");
    return `${time.slice(0, 8)}-${time.slice(8)}-7000-8000-${tail}`;
  }

  #makeConfiguration(): Configuration {
    const configuration: Configuration = { teams: {}, keys: {}, queues: {} };
    for (const [name, limit] of Object.entries(TEAM_LIMITS)) {
      const key = createKey(name);
      this.keys.set(name, key.text);
      configuration.teams[name] = { share: 10, limit };
      configuration.keys[name] = { team: name, hash: key.hash };
    }
    configuration.queues.all = {
      teams: Object.keys(TEAM_LIMITS),
      open: false,
      open_team: "",
      kinds: Object.values(WorkKind),
      urgent: false,
      max_queued: 200,
      max_body_bytes: 10_000,
    };
    return configuration;
  }

  #findLimit(team: string): number {
    this.invariantChecks += 1;
    const pending = this.#pendingLimits.map(({ limits }) => limits[team] ?? 0);
    return Math.max(this.#acceptedLimits[team] ?? 0, ...pending);
  }
}

class InvariantLog extends EventLog {
  readonly #broken: string[];

  constructor(broken: string[]) {
    super();
    this.#broken = broken;
  }

  override record(code: EventCode, fields: EventFields = {}): void {
    if (code === EventCode.InvariantBroken) {
      this.#broken.push(JSON.stringify(fields));
    }
  }
}

function makeSettings(domain: string, vm: string): Settings {
  return {
    vm: { id: vm, domain },
    listen: {
      callers: { host: vm, port: 1 },
      peers: { host: vm, port: 2 },
    },
    platform: { store: "", vm_list: "", vm_list_lag_ms: 1_000, timeout_ms: 1 },
    operators: { key_hash: "" },
    peers: { token: "", heartbeat_ms: 500 },
    endpoints: { poll_ms: 1_000, task_lease_ms: 6_000 },
    log: { level: "info" },
  };
}

function makeEntryVm(domain: string, id: string): Vm {
  return {
    id,
    role: VmRole.Entry,
    domain,
    rack: `${domain}-r`,
    state: VmState.Live,
    address: id,
    size: { cores: 2, memoryMb: 4_096, accelerators: 0 },
    slots: 0,
    connections: 0,
  };
}
