import type { Random } from "../../packages/base/mod.ts";
import type { ProcessLimits } from "../harness/process_limits.ts";
import { EndpointStandIn } from "../standins/endpoint.ts";
import {
  PolicyServiceStandIn,
  StoreStandIn,
  VmServiceStandIn,
} from "../standins/job_platform.ts";
import { sleep } from "../standins/http_server.ts";
import { type LinkRule, Relay } from "../standins/relay.ts";
import { EntryPort, EntryProcess } from "./entry_process.ts";
import type { Room } from "./room_history.ts";
import { createRandom } from "./schedule.ts";
import { type SoakEvent, SoakEventKind } from "./types.ts";

/** Added to a server's port to get the port of its relay. */
const RELAY_PORT_OFFSET = 1_000;
const STORE_PORT = 7_110;
const POLICY_PORT = 7_111;
const VM_SERVICE_PORT = 7_112;
const ENDPOINT_PORT = 7_120;
const STOP_MS = 100;
/** Slowest clock of an endpoint, as a fraction. */
const SLOWEST_CLOCK = 0.98;
/** Silence after which an endpoint's record is removed, in milliseconds. */
const RECORD_LIFETIME_MS = 1_500;
/** Durations of a transaction, in milliseconds: a near and a distant store. */
const TRANSACTION_MS = [0, 50, 200];
const OWNER_KEY = "baobabhead/cell/owner";
/** Time until an endpoint is back that a task has crashed, in milliseconds. */
const CRASH_RANGE_MS = [1_000, 4_000];
/** Share of these endpoints that come back under another id. */
const NEW_ID_RATIO = 0.5;
/** Capacity of each endpoint unless a fault has changed it. */
const CAPACITY = { milliCores: 4_000, memoryMb: 8_000 };

/** Size of a site of the soak. */
export interface SiteSize {
  entries: number;
  endpoints: number;
}

/**
 * Entries as processes, the platform's stand-ins, and a relay between each pair
 * that talks: each program has its own loopback address.
 */
export class SoakSite {
  readonly store = new StoreStandIn();
  readonly relay = new Relay();
  readonly endpoints: EndpointStandIn[] = [];
  readonly entries: EntryProcess[] = [];
  readonly #policy: PolicyServiceStandIn;
  readonly #vms = new VmServiceStandIn();
  readonly #network: string;
  readonly #directory: string;
  readonly #bundle: string;
  readonly #limits: ProcessLimits | undefined;
  readonly #downEndpoints = new Set<EndpointStandIn>();
  /** Capacity of each endpoint as a fraction of `CAPACITY`; 1 if not set. */
  readonly #roomFractions = new Map<EndpointStandIn, number>();
  #random = createRandom(0);
  #isStopped = false;
  readonly #rules = new Set<LinkRule>();
  #configVersion = 0;
  /** Called with each event of a run, and with each change of a capacity. */
  onEvent: (event: SoakEvent) => void = () => {};
  /** Returns the duration of a task, in milliseconds. */
  measureDuration: (task: string) => number = () => 0;

  /** `network`: first two parts of the addresses, such as `127.60`. */
  constructor(
    options: {
      network: string;
      directory: string;
      bundle: string;
      limits?: ProcessLimits;
    },
  ) {
    this.#limits = options.limits;
    this.#network = options.network;
    this.#bundle = options.bundle;
    this.#directory = options.directory;
    this.#policy = new PolicyServiceStandIn([]);
  }

  get platformHost(): string {
    return `${this.#network}.0.1`;
  }

  /** Prefix of the addresses of callers. */
  get callerPrefix(): string {
    return `${this.#network}.3.`;
  }

  async start(size: SiteSize, seed: number): Promise<void> {
    const random = createRandom(seed);
    this.#random = createRandom(seed + 1);
    const host = this.platformHost;
    this.store.transactionMs =
      TRANSACTION_MS[random.drawInt(TRANSACTION_MS.length)];
    await this.store.start({ host, port: STORE_PORT });
    await this.#policy.start({ host, port: POLICY_PORT });
    await this.#vms.start({ host, port: VM_SERVICE_PORT });
    const store = await this.#addRelay({ host, port: STORE_PORT });
    for (let n = 0; n < size.endpoints; n++) await this.#addEndpoint(n, random);
    for (let n = 0; n < size.entries; n++) {
      const entryHost = `${this.#network}.1.${n + 1}`;
      await this.#addRelay({ host: entryHost, port: EntryPort.Callers });
      this.entries.push(
        new EntryProcess({
          name: `entry-${n}`,
          host: entryHost,
          directory: this.#directory,
          advertisedPeers: await this.#addRelay({
            host: entryHost,
            port: EntryPort.Peers,
          }),
          store,
          policy: `${host}:${POLICY_PORT}`,
          vms: `${host}:${VM_SERVICE_PORT}`,
          bundle: this.#bundle,
          limits: this.#limits,
        }),
      );
    }
    for (const entry of this.entries) entry.start();
  }

  /** Ends every process and server that this site started. */
  async stop(): Promise<void> {
    this.#isStopped = true;
    await Promise.all(this.entries.map((entry) => entry.kill()));
    for (const endpoint of this.endpoints) endpoint.stop();
    this.relay.stop();
    this.store.stop();
    this.#policy.stop();
    this.#vms.stop();
  }

  /** Base URL of an entry's interface for callers, through the relay. */
  getCallerUrl(entry: number): string {
    const { host } = this.entries[entry].place;
    return `http://${host}:${EntryPort.Callers + RELAY_PORT_OFFSET}`;
  }

  getEndpointHost(endpoint: number): string {
    return `${this.#network}.2.${endpoint + 1}`;
  }

  getReadinessUrl(entry: number): string {
    const { host } = this.entries[entry].place;
    return `http://${host}:${EntryPort.Readiness}/baobabhead/readiness`;
  }

  getCallerHost(caller: number): string {
    return `${this.callerPrefix}${caller + 1}`;
  }

  /** Returns the entry that owns the cell by the store; 0 if there is none. */
  findOwner(): number {
    const owner = this.store.read(OWNER_KEY) as { entry?: string } | undefined;
    const index = this.entries.findIndex(({ place }) =>
      place.name === owner?.entry
    );
    return Math.max(0, index);
  }

  /** Writes a new configuration with these API keys. */
  applyConfig(keys: string[]): void {
    this.#configVersion += 1;
    const route = { host: "desk.example", service: "desk", priority: 1 };
    const rules = { attempts: 3, stretch: 2, target_latency_ms: 500 };
    this.store.put("op/config", {
      version: this.#configVersion,
      routes: [
        { ...route, ...rules, name: "filings", prefix: "/filings/" },
        {
          ...route,
          ...rules,
          name: "extra",
          prefix: `/extra${this.#configVersion}/`,
        },
      ],
      tenants: [{ name: "norte", api_keys: keys, weight: 1_000, cap: {} }],
    });
  }

  addRule(rule: LinkRule): void {
    this.#rules.add(rule);
    this.relay.setRules([...this.#rules]);
  }

  removeRule(rule: LinkRule): void {
    this.#rules.delete(rule);
    this.relay.setRules([...this.#rules]);
  }

  /** Ends an endpoint; its record goes unless it is back in time. */
  crashEndpoint(endpoint: EndpointStandIn): void {
    if (this.#downEndpoints.has(endpoint)) return;
    this.#downEndpoints.add(endpoint);
    endpoint.crash();
    const { id } = endpoint;
    setTimeout(() => {
      const isBack = !this.#downEndpoints.has(endpoint) && endpoint.id === id;
      if (!isBack) this.store.remove(`servers/${id}`);
    }, RECORD_LIFETIME_MS);
  }

  /** Starts an endpoint again at the same address, by default as this id. */
  async restartEndpoint(endpoint: EndpointStandIn, id?: string): Promise<void> {
    if (this.#isStopped || !this.#downEndpoints.delete(endpoint)) return;
    if (id) this.#recordRoom(endpoint, { milliCores: 0, memoryMb: 0 });
    await endpoint.restart(id);
    this.#vms.add(`m${this.endpoints.indexOf(endpoint)}`, endpoint.id);
    this.#recordRoom(endpoint);
    this.#putRecord(endpoint);
  }

  /**
   * Changes an endpoint's capacity to a fraction of the usual one; its record
   * follows after `recordDelayMs`.
   */
  async changeRoom(
    endpoint: EndpointStandIn,
    options: { fraction: number; recordDelayMs: number },
  ): Promise<void> {
    this.#roomFractions.set(endpoint, options.fraction);
    this.#recordRoom(endpoint);
    await sleep(options.recordDelayMs);
    if (!this.#downEndpoints.has(endpoint)) this.#putRecord(endpoint);
  }

  /** Records the ends of runs up to this time. */
  endDueRuns(now: number): void {
    for (const endpoint of this.endpoints) endpoint.endDueRuns(now);
  }

  async #addEndpoint(n: number, random: Random): Promise<void> {
    const clockRate = SLOWEST_CLOCK + (1 - SLOWEST_CLOCK) * random.drawFloat();
    const endpoint = new EndpointStandIn(`w${n}`, { clockRate });
    const address = { host: this.getEndpointHost(n), port: ENDPOINT_PORT };
    endpoint.stopMs = STOP_MS;
    endpoint.measureDuration = (task) => this.measureDuration(task);
    endpoint.onEvent = (event) => this.onEvent(event);
    endpoint.onTaskCrash = () => void this.#crashByTask(endpoint);
    await endpoint.start(address);
    await this.#addRelay(address);
    this.endpoints.push(endpoint);
    this.#vms.add(`m${n}`, endpoint.id);
    this.#recordRoom(endpoint);
    this.#putRecord(endpoint);
  }

  /** Crashes an endpoint, which comes back seconds later. */
  async #crashByTask(endpoint: EndpointStandIn): Promise<void> {
    const [leastMs, mostMs] = CRASH_RANGE_MS;
    const downMs = leastMs + this.#random.drawInt(mostMs - leastMs);
    const hasNewId = this.#random.drawFloat() < NEW_ID_RATIO;
    this.crashEndpoint(endpoint);
    await sleep(downMs);
    await this.restartEndpoint(
      endpoint,
      hasNewId ? `${endpoint.id}n` : undefined,
    );
  }

  #getRoom(endpoint: EndpointStandIn): Room {
    const fraction = this.#roomFractions.get(endpoint) ?? 1;
    return {
      milliCores: Math.floor(CAPACITY.milliCores * fraction),
      memoryMb: Math.floor(CAPACITY.memoryMb * fraction),
    };
  }

  #recordRoom(
    endpoint: EndpointStandIn,
    room: Room = this.#getRoom(endpoint),
  ): void {
    this.onEvent({
      kind: SoakEventKind.Room,
      at: Date.now(),
      endpoint: endpoint.id,
      ...room,
    });
  }

  #putRecord(endpoint: EndpointStandIn): void {
    const n = this.endpoints.indexOf(endpoint);
    const host = this.getEndpointHost(n);
    const room = this.#getRoom(endpoint);
    this.store.put(`servers/${endpoint.id}`, {
      service: "desk",
      addr: `${host}:${ENDPOINT_PORT + RELAY_PORT_OFFSET}`,
      zone: "a",
      state: "ready",
      room: { cpu: room.milliCores, mem_mb: room.memoryMb },
      labels: ["a", `r${n % 3}`],
      born: endpoint.born,
      seq: 1,
    });
  }

  async #addRelay(to: { host: string; port: number }): Promise<string> {
    const from = { host: to.host, port: to.port + RELAY_PORT_OFFSET };
    await this.relay.addRoute(from, to);
    return `${from.host}:${from.port}`;
  }
}
