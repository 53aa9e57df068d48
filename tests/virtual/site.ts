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
import {
  DEFAULT_DIRECT_LIMITS,
  DEFAULT_KEPT_OUTCOMES,
  type Settings,
} from "../../packages/settings/mod.ts";
import { FakeEndpointClient, FakeEndpoints } from "./fake_endpoints.ts";
import { FakeNetwork, FakePeerClient } from "./fake_network.ts";
import {
  FakeStore,
  FakeStoreState,
  FakeVmList,
  FakeVmListState,
} from "./fake_platform.ts";
import { ProcessClock, VirtualTime } from "./virtual_time.ts";

/** Failure domains of the virtual site. */
export const DOMAINS = ["a", "b", "c"];
/** Number of entries in each failure domain. */
export const ENTRIES_PER_DOMAIN = 2;
const ENDPOINTS_PER_DOMAIN = 3;
const SLOTS_PER_ENDPOINT = 3;
const CORES_PER_ENDPOINT = 4;

/** Task limits by team. The lowest is below the number of entries. */
export const TEAM_LIMITS: Record<string, number> = {
  ox: 3,
  ibis: 8,
  ceiba: 20,
};

/** Entry that was started on a VM and the id of its process. */
export interface SiteEntry {
  vm: string;
  domain: string;
  processId: string;
  node: EntryNode;
}

/** Request of a client and its outcome. */
export interface SiteRequest {
  /** Id of the work; empty until the entry has received the request. */
  id: string;
  /**
   * Marker in the payload, by which task starts and answers are matched to the
   * request; empty for a gang, which starts several tasks.
   */
  ref: string;
  team: string;
  tasks: number;
  sentAt: number;
  /** Process of the entry that receives the request. */
  processId: string;
  /** Time at which the team's key was revoked, if this was before sending. */
  keyRevokedAt: number | undefined;
  outcome?: Outcome;
}

/**
 * Virtual site: several entries on one virtual clock, with a fake network,
 * store, VM list and endpoints, and a random load.
 */
export class Site {
  readonly time = new VirtualTime();
  readonly random: SeededRandom;
  readonly network: FakeNetwork;
  readonly store = new FakeStoreState();
  readonly vmList = new FakeVmListState();
  readonly endpoints: FakeEndpoints;
  readonly entries = new Map<string, SiteEntry>();
  readonly requests: SiteRequest[] = [];
  readonly invariantViolations: string[] = [];
  /** Failure domains that cannot reach the store and the VM list. */
  readonly platformPartitions = new Set<string>();
  /** API keys by team. */
  readonly keys = new Map<string, string>();
  readonly initialConfiguration: Configuration;
  /** Configuration of the newest version known to be accepted. */
  configuration: Configuration;
  invariantChecks = 0;
  /** Time since which a key is certainly revoked, by team. */
  readonly revokedAt = new Map<string, number>();
  #acceptedVersion = 0;
  #acceptedLimits: Record<string, number> = {};
  /** Limits of changes that may have been accepted. */
  #pendingLimits: { version: number; limits: Record<string, number> }[] = [];
  /** Start of the last change that contains a team's key, by team. */
  readonly #grantedAt = new Map<string, number>();
  /** Number of changes in flight that contain a team's key, by team. */
  readonly #pendingGrants = new Map<string, number>();
  /** Records of the configuration in the store when the load began. */
  initialConfigRecords = new Map<string, string>();
  #sequence = 0;
  #isLoadActive = true;

  constructor(seed: number) {
    this.random = new SeededRandom(seed);
    this.network = new FakeNetwork(this.time, this.random);
    this.endpoints = new FakeEndpoints(this.time, this.random);
    this.endpoints.findTeamLimit = (team) => this.#findLimit(team);
    this.configuration = this.#makeConfiguration();
    this.initialConfiguration = this.configuration;
  }

  /** Starts all entries, applies the configuration and lets the site settle. */
  async start(): Promise<void> {
    for (const domain of DOMAINS) {
      for (let n = 0; n < ENDPOINTS_PER_DOMAIN; n++) {
        this.addEndpoint(domain, `${domain}-w${n}`);
      }
      for (let n = 0; n < ENTRIES_PER_DOMAIN; n++) {
        this.startEntry(domain, `${domain}${n}`);
      }
    }
    await this.time.advance(3_000);
    void this.apply(this.configuration);
    await this.time.advance(6_000);
    this.initialConfigRecords = this.store.copyValues(CONFIG_PREFIX);
  }

  /** Adds an endpoint and its VM. */
  addEndpoint(domain: string, id: string): void {
    const vm: Vm = {
      id,
      role: VmRole.Endpoint,
      domain,
      rack: `${domain}-r`,
      state: VmState.Live,
      address: id,
      size: { cores: CORES_PER_ENDPOINT, memoryMb: 4_096, accelerators: 0 },
      slots: SLOTS_PER_ENDPOINT,
      connections: 16,
    };
    this.endpoints.add(vm);
    this.vmList.add(vm);
  }

  /** Starts an entry on a VM, which must not run one already. */
  startEntry(domain: string, vm: string): SiteEntry {
    const processId = `${vm}#${this.#sequence++}`;
    const clock = new ProcessClock(this.time, processId);
    const settings = makeSettings(domain, vm);
    const random = new SeededRandom(this.random.drawInt(1 << 30));
    const link = {
      time: this.time,
      processId,
      random,
      isReachable: () => !this.platformPartitions.has(domain),
    };
    const node = assembleEntryNode({
      settings,
      clock,
      random,
      store: new FakeStore(this.store, link),
      vmList: new FakeVmList(this.vmList, { domain, link }),
      endpoints: new FakeEndpointClient(this.endpoints, processId),
      peers: new FakePeerClient(this.network, { processId, domain }),
      placement: new SampledPlacement(random),
      log: new InvariantViolationLog(this.invariantViolations),
      metrics: new Metrics(),
      makeId: () => `id-${String(this.#sequence++).padStart(8, "0")}`,
    });
    const { peers } = node.member;
    const handlers = createPeerHandlers(node);
    this.network.listeners.set(peers, { processId, domain, handlers });
    this.vmList.add(makeEntryVm(domain, vm));
    const entry = { vm, domain, processId, node };
    this.entries.set(vm, entry);
    this.time.schedule(processId, 0, () => node.start());
    return entry;
  }

  /** Kills the entry on a VM, if one runs there. */
  killEntry(vm: string): void {
    const entry = this.entries.get(vm);
    if (!entry) return;
    this.entries.delete(vm);
    this.time.kill(entry.processId);
    this.network.resetConnections(entry.processId);
  }

  /** Checks that a drained entry has answered all requests that it received. */
  checkDrain(entry: SiteEntry): void {
    this.invariantChecks += 1;
    for (const { processId, id, outcome } of this.requests) {
      if (processId !== entry.processId || !id || outcome) continue;
      this.invariantViolations.push(`${id} was interrupted by a drain`);
    }
  }

  /** Lists the entries that are neither killed nor frozen. */
  listRunning(): SiteEntry[] {
    return [...this.entries.values()].filter(({ processId }) =>
      !this.time.isFrozen(processId)
    );
  }

  /** Applies a configuration through a random entry. */
  async apply(newConfiguration: Configuration): Promise<void> {
    const running = this.listRunning();
    if (running.length === 0) return;
    const { node } = running[this.random.drawInt(running.length)];
    const base = node.config.state.head.version;
    const limits = Object.fromEntries(
      Object.entries(newConfiguration.teams).map((
        [name, team],
      ) => [name, team.limit]),
    );
    this.#pendingLimits.push({ version: base + 1, limits });
    const items = splitConfiguration(newConfiguration);
    const options = { base, author: "test" };
    const startedAt = this.time.now;
    for (const team of Object.keys(newConfiguration.keys)) {
      // The change may be accepted before `apply` returns, so that the key
      // counts as granted from the start of the change.
      this.#grantedAt.set(team, startedAt);
      this.revokedAt.delete(team);
    }
    this.#addPendingGrants(newConfiguration, 1);
    const result = await node.config.apply(items, options).catch(() => null);
    this.#addPendingGrants(newConfiguration, -1);
    // The answer for an older version may arrive after that for a newer one.
    if (!result?.accepted || result.version < this.#acceptedVersion) return;
    this.#acceptedVersion = result.version;
    this.configuration = newConfiguration;
    this.#acceptedLimits = limits;
    this.#pendingLimits = this.#pendingLimits.filter(({ version }) =>
      version > result.version
    );
    for (const team of Object.keys(TEAM_LIMITS)) {
      const isGrantedAgain = this.#grantedAt.get(team)! >= startedAt;
      // An earlier change that is still in flight may be accepted later.
      const isGrantPending = (this.#pendingGrants.get(team) ?? 0) > 0;
      if (isGrantedAgain || isGrantPending || this.revokedAt.has(team)) {
        continue;
      }
      this.revokedAt.set(team, this.time.now);
    }
  }

  /**
   * Sends random requests, on average one per `intervalMs`, until the load is
   * stopped.
   */
  sendLoad(intervalMs: number): void {
    if (!this.#isLoadActive) return;
    const pauseMs = 1 + this.random.drawInt(intervalMs * 2);
    this.time.schedule("clients", pauseMs, () => {
      this.#sendRandomRequest();
      this.sendLoad(intervalMs);
    });
  }

  /** Stops sending random requests. */
  stopLoad(): void {
    this.#isLoadActive = false;
  }

  /** Sends one request to an entry. */
  send(
    entry: SiteEntry,
    options: {
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
      ref: options.ref,
      team: options.team,
      tasks: options.tasks ?? 1,
      sentAt: this.time.now,
      processId: entry.processId,
      keyRevokedAt: this.revokedAt.get(options.team),
    };
    this.requests.push(request);
    this.time.schedule(entry.processId, 1, () => {
      const { id, outcome } = entry.node.submit({
        queue: "all",
        authorization: `Bearer ${this.keys.get(options.team)}`,
        idempotencyKey: options.idempotencyKey,
        body: JSON.stringify({
          kind: options.kind,
          tasks: options.tasks,
          cores: options.cores,
          memory_mb: 64,
          timeout_ms: options.timeoutMs ?? 4_000,
          payload: { ref: options.ref, run_ms: options.runMs },
        }),
      });
      request.id = id;
      outcome.then((result) => request.outcome = result);
    });
    return request;
  }

  /** Adds `change` to the number of pending grants of each team with a key. */
  #addPendingGrants(newConfiguration: Configuration, change: number): void {
    for (const team of Object.keys(newConfiguration.keys)) {
      this.#pendingGrants.set(
        team,
        (this.#pendingGrants.get(team) ?? 0) + change,
      );
    }
  }

  /**
   * Sends a gang, a service that is cancelled later, a request without
   * idempotency key that may be cancelled, or one with a key that is retried.
   */
  #sendRandomRequest(): void {
    const running = this.listRunning();
    if (running.length === 0) return;
    const pick = <T>(list: T[]) => list[this.random.drawInt(list.length)];
    const draw = this.random.drawFloat();
    const team = pick(Object.keys(TEAM_LIMITS));
    const ref = `r${this.#sequence++}`;
    const runMs = 20 + this.random.drawInt(400);
    const entry = pick(running);
    if (draw < 0.04) {
      const tasks = 2 + this.random.drawInt(3);
      this.send(entry, { team, ref: "", runMs, tasks, kind: WorkKind.Gang });
      return;
    }
    if (draw < 0.08) {
      const request = this.send(entry, {
        team,
        ref,
        runMs,
        kind: WorkKind.Service,
      });
      const lifetimeMs = 500 + this.random.drawInt(4_000);
      this.time.schedule("clients", lifetimeMs, () => this.#cancel(request));
      return;
    }
    const cores = 1 + this.random.drawInt(2);
    if (draw < 0.5) {
      const request = this.send(entry, { team, ref, runMs, cores });
      if (draw < 0.15) {
        const delayMs = this.random.drawInt(600);
        this.time.schedule("clients", delayMs, () => this.#cancel(request));
      }
      return;
    }
    const idempotencyKey = `${pick(DOMAINS)}/${this.#makeUuid()}`;
    const options = { team, ref, runMs, cores, idempotencyKey };
    const firstTry = this.send(entry, options);
    this.#retryLater(firstTry, options, 3);
  }

  /** Retries a request at random entries until it has run or no retry is left. */
  #retryLater(
    request: SiteRequest,
    options: Parameters<Site["send"]>[1],
    retriesLeft: number,
  ): void {
    const waitMs = 200 + this.random.drawInt(3_000);
    this.time.schedule("clients", waitMs, () => {
      const running = this.listRunning();
      if (request.outcome?.verdict === Verdict.Ran) return;
      if (retriesLeft === 0 || running.length === 0) return;
      const entry = running[this.random.drawInt(running.length)];
      this.#retryLater(this.send(entry, options), options, retriesLeft - 1);
    });
  }

  #cancel(request: SiteRequest): void {
    const running = this.listRunning();
    if (!request.id || running.length === 0) return;
    const entry = running[this.random.drawInt(running.length)];
    this.time.schedule(entry.processId, 1, () => {
      entry.node.cancelWork(request.id, request.team).catch(() => {});
    });
  }

  /** Returns a version 7 UUID for the current virtual time. */
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

  /** Returns the highest limit that may be in force for a team. */
  #findLimit(team: string): number {
    this.invariantChecks += 1;
    const pending = this.#pendingLimits.map(({ limits }) => limits[team] ?? 0);
    return Math.max(this.#acceptedLimits[team] ?? 0, ...pending);
  }
}

/** Event log that keeps only reports of broken invariants. */
class InvariantViolationLog extends EventLog {
  readonly #violations: string[];

  constructor(violations: string[]) {
    super();
    this.#violations = violations;
  }

  override record(code: EventCode, fields: EventFields = {}): void {
    if (code === EventCode.InvariantBroken) {
      this.#violations.push(JSON.stringify(fields));
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
    callers: DEFAULT_DIRECT_LIMITS,
    work: { kept_outcomes: DEFAULT_KEPT_OUTCOMES },
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
