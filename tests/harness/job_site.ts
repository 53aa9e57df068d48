import { SilentEventLog } from "../../packages/events/mod.ts";
import { MonotonicClock, SeededRandom } from "../../packages/base/mod.ts";
import { DEFAULT_POLICIES } from "../../packages/cell/mod.ts";
import { DEFAULT_CONNECTION_LIMITS } from "../../packages/connections/mod.ts";
import { Metrics } from "../../packages/metrics/mod.ts";
import {
  SchedulerDaemon,
  SchedulerNode,
} from "../../packages/scheduler/mod.ts";
import { PlatformAdvice } from "../../platform/advice_service.ts";
import {
  createCallerApp,
  createReadinessApp,
  MAX_BODY_BYTES,
  PlatformRefusals,
} from "../../platform/caller_app.ts";
import { PlatformEndpoints } from "../../platform/endpoint_control.ts";
import { PlatformStore } from "../../platform/key_value_store.ts";
import { PlatformRecords } from "../../platform/site_records.ts";
import { PlatformVms } from "../../platform/vm_service.ts";
import { EndpointStandIn } from "../standins/endpoint.ts";
import {
  PolicyServiceStandIn,
  StoreStandIn,
  VmServiceStandIn,
} from "../standins/job_platform.ts";
import { sleep } from "../standins/http_server.ts";

const CALLER_PORT = 7_101;
const READINESS_PORT = 7_102;
const PEER_PORT = 7_103;
const OPERATIONS_PORT = 7_104;
const STORE_PORT = 7_110;
const POLICY_SERVICE_PORT = 7_111;
const VM_SERVICE_PORT = 7_112;
const ENDPOINT_PORT = 7_120;

/** API key of the only organisation of the site. */
export const ORGANISATION_KEY = "norte-key-1";

interface RunningEntry {
  node: SchedulerNode;
  daemon: SchedulerDaemon;
  host: string;
}

/** Entries and stand-ins for the users' platform, on loopback addresses. */
export class JobSite {
  readonly store = new StoreStandIn();
  readonly policy = new PolicyServiceStandIn(["w0", "w1"]);
  readonly vms = new VmServiceStandIn();
  readonly endpoints: EndpointStandIn[] = [];
  readonly entries: RunningEntry[] = [];
  readonly #network: string;
  #version = 1;

  /**
   * `network`: first three parts of the addresses, such as `127.51.0`. Sites
   * that run at the same time need different ones.
   */
  constructor(network: string) {
    this.#network = network;
  }

  async start(options: { entries: number; endpoints: number }): Promise<void> {
    const host = `${this.#network}.100`;
    await this.store.start({ host, port: STORE_PORT });
    await this.policy.start({ host, port: POLICY_SERVICE_PORT });
    await this.vms.start({ host, port: VM_SERVICE_PORT });
    for (let n = 0; n < options.endpoints; n++) await this.#addEndpoint(n);
    this.applyConfig([ORGANISATION_KEY]);
    for (let n = 0; n < options.entries; n++) await this.#addEntry(n);
    await this.waitFor(() => this.entries.every(({ node }) => node.isReady()));
  }

  async stop(): Promise<void> {
    for (const { daemon } of this.entries) void daemon.stop();
    for (const endpoint of this.endpoints) endpoint.stop();
    this.store.stop();
    this.policy.stop();
    this.vms.stop();
    await sleep(0);
  }

  /** Writes a new version of the configuration with these API keys. */
  applyConfig(keys: string[]): void {
    const route = {
      name: "filings",
      host: "desk.example",
      prefix: "/filings/",
      service: "desk",
      attempts: 2,
      stretch: 2,
      target_latency_ms: 500,
    };
    const advice = { decide_ms: 1, each_ms: 1, valid_ms: 1_500 };
    this.store.put("op/config", {
      version: this.#version++,
      routes: [
        { ...route, priority: 1 },
        { ...route, name: "gated", prefix: "/gated/", advice },
      ],
      tenants: [{ name: "norte", api_keys: keys, weight: 100, cap: {} }],
    });
  }

  /** Sends a caller request to the entry with this index. */
  async send(
    entry: number,
    path: string,
    options: { method?: string; body?: unknown; key?: string } = {},
  ): Promise<{ status: number; body: Record<string, unknown> }> {
    const { host } = this.entries[entry];
    const { request } = await import("undici");
    const response = await request(`http://${host}:${CALLER_PORT}${path}`, {
      method: (options.method ?? "GET") as "GET",
      headers: {
        host: "desk.example",
        "x-api-key": options.key ?? ORGANISATION_KEY,
      },
      body: options.body === undefined
        ? undefined
        : JSON.stringify(options.body),
    });
    const text = await response.body.text();
    return {
      status: response.statusCode,
      body: text ? JSON.parse(text) : {},
    };
  }

  /** Returns the index of the entry that owns the cell; -1: none. */
  findOwner(): number {
    return this.entries.findIndex(({ node }) =>
      node.gateway.owner?.entry === node.parts.settings.vm.name
    );
  }

  /** Returns the base URL of the operators' interface of an entry. */
  getOperationsUrl(entry: number): string {
    return `http://${this.entries[entry].host}:${OPERATIONS_PORT}`;
  }

  /** Fetches a path of the operators' interface of an entry as text. */
  async fetchOperations(entry: number, path: string): Promise<string> {
    const answer = await fetch(`${this.getOperationsUrl(entry)}${path}`);
    return await answer.text();
  }

  /** Waits until a condition holds; throws after 10 s. */
  async waitFor(isMet: () => boolean | Promise<boolean>): Promise<void> {
    const until = Date.now() + 10_000;
    while (!await isMet()) {
      if (Date.now() > until) {
        throw new Error("Timed out waiting for a condition");
      }
      await sleep(20);
    }
  }

  async #addEndpoint(n: number): Promise<void> {
    const host = `${this.#network}.${50 + n}`;
    const endpoint = new EndpointStandIn(`w${n}`);
    await endpoint.start({ host, port: ENDPOINT_PORT });
    this.endpoints.push(endpoint);
    this.vms.add(`m${n}`, endpoint.id);
    this.store.put(`servers/${endpoint.id}`, {
      service: "desk",
      addr: `${host}:${ENDPOINT_PORT}`,
      zone: "a",
      state: "ready",
      room: { cpu: 4_000, mem_mb: 8_000 },
      labels: ["a", "r1"],
      born: endpoint.born,
      seq: 1,
    });
  }

  async #addEntry(n: number): Promise<void> {
    const host = `${this.#network}.${1 + n}`;
    const node = new SchedulerNode({
      getStoreFailedAt: () => Number.NEGATIVE_INFINITY,
      settings: {
        vm: {
          name: `entry-${n}`,
          domain: "a",
          address: host,
          cpu_share: 1,
          cores: 1,
        },
        listen: {
          callers: { host, port: CALLER_PORT },
          readiness: { host, port: READINESS_PORT },
          peers: { host, port: PEER_PORT },
          operations: { host, port: OPERATIONS_PORT },
        },
        callers: DEFAULT_CONNECTION_LIMITS,
        store: { address: { host: `${this.#network}.100`, port: STORE_PORT } },
        policy: {},
        scheduling: DEFAULT_POLICIES,
        vms: { take_over_pause_ms: 200 },
        bounds: {
          task_lease_ms: 6_000,
          key_revocation_ms: 5_000,
          ended_jobs_ms: 120_000,
          endpoint_records_ms: 3_000,
        },
        limits: { owner_calls: 2_000, held_tasks: 80_000 },
        log: { level: "info" },
      },
      store: new PlatformStore({
        address: `${this.#network}.100:${STORE_PORT}`,
        localAddress: host,
      }),
      records: new PlatformRecords(),
      control: new PlatformEndpoints({ localAddress: host }),
      vms: new PlatformVms({
        address: `${this.#network}.100:${VM_SERVICE_PORT}`,
        localAddress: host,
      }),
      advice: new PlatformAdvice({
        address: `${this.#network}.100:${POLICY_SERVICE_PORT}`,
        localAddress: host,
      }),
      clock: new MonotonicClock(),
      random: new SeededRandom(n + 1),
      log: new SilentEventLog(),
      metrics: new Metrics(),
      incarnation: `entry-${n}/1`,
    });
    const daemon: SchedulerDaemon = new SchedulerDaemon(node, {
      callers: createCallerApp(node, { isStopping: () => daemon.isStopping }),
      readiness: createReadinessApp(node),
      callerRefusals: new PlatformRefusals(node.callerService),
      maxBodyBytes: MAX_BODY_BYTES,
    });
    await daemon.start();
    this.entries.push({ node, daemon, host });
  }
}
