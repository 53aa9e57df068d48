import { type ChildProcess, fork } from "node:child_process";
import { fileURLToPath } from "node:url";
import { sleep } from "../../standins/http_server.ts";
import { EntryPort, EntryProcess } from "../entry_process.ts";
import { fetchReadiness } from "../network.ts";
import type { Room } from "../room_history.ts";
import {
  type CallerCommand,
  type CallerReport,
  type HostCommand,
  type HostReport,
  type PlatformCommand,
  type SeriesOptions,
  SeriesPort,
} from "./types.ts";
import { SERIES_QUEUES } from "./workload.ts";

/** Endpoints that one process hosts. */
const ENDPOINTS_PER_HOST = 11;
/** Capacity of each endpoint. */
export const CAPACITY: Room = { milliCores: 32_000, memoryMb: 131_072 };
const RACK_SIZE = 8;
const START_TIMEOUT_MS = 40_000;
const POLL_MS = 200;
/** Time between two turns of the entries' processes while their share is below 1, in ms. */
const TURN_MS = 20;

/** Policies of the deploy template; the other soaks play the defaults. */
const SCHEDULING = `[scheduling]
run_times = learned
choice = speed
order = learned
admission = room
shares = dominant
stalls = progress
gang_starts = repeat
leaving = move
`;

/** Receives what the processes of a series report. */
export interface SeriesListener {
  handleHostReport(report: HostReport & { kind: "events" }): void;
  handleCallerReport(report: CallerReport): void;
  handleBirth(endpoint: { id: string; formerId: string; at: number }): void;
}

/** The processes of a series: entries, hosts of endpoints, platform and callers. */
export class SeriesSite {
  readonly entries: EntryProcess[] = [];
  /** Current id of each endpoint. */
  readonly ids: string[];
  readonly #options: SeriesOptions;
  readonly #network: string;
  readonly #directory: string;
  readonly #listener: SeriesListener;
  readonly #hosts: ChildProcess[] = [];
  readonly #platform: ChildProcess;
  readonly #callers: ChildProcess;
  readonly #born: number[] = [];
  #turns: NodeJS.Timeout | undefined;

  constructor(
    options: SeriesOptions,
    place: { network: string; directory: string; listener: SeriesListener },
  ) {
    this.#options = options;
    this.#network = place.network;
    this.#directory = place.directory;
    this.#listener = place.listener;
    this.ids = Array.from({ length: options.endpoints }, (_, n) => `w${n}`);
    this.#platform = forkHost("platform_host");
    this.#callers = forkHost("caller_host");
    this.#callers.on(
      "message",
      (report) => this.#listener.handleCallerReport(report as CallerReport),
    );
  }

  async start(): Promise<void> {
    const platformHost = `${this.#network}.0.1`;
    await this.#tellPlatform({ kind: "open", host: platformHost });
    await waitForMessage(this.#platform);
    const count = this.#options.endpoints;
    for (let first = 0; first < count; first += ENDPOINTS_PER_HOST) {
      const host = forkHost("endpoint_host");
      this.#hosts.push(host);
      const endpoints = this.ids.slice(first, first + ENDPOINTS_PER_HOST)
        .map((id, n) => ({ id, host: this.#getEndpointHost(first + n) }));
      const isReady = new Promise<void>((resolve) =>
        host.on("message", (message) => {
          const report = message as HostReport;
          if (report.kind === "ready") resolve();
          else if (report.kind === "events") {
            this.#listener.handleHostReport(report);
          } else this.#noteBirth(first + report.endpoint, report);
        })
      );
      host.send({ kind: "open", endpoints });
      await isReady;
    }
    for (const n of this.ids.keys()) this.putRecord(n);
    this.#putConfig();
    for (let n = 0; n < this.#options.entries; n++) {
      const host = `${this.#network}.1.${n + 1}`;
      this.entries.push(
        new EntryProcess({
          name: `entry-${n}`,
          host,
          directory: this.#directory,
          advertisedPeers: `${host}:${EntryPort.Peers}`,
          store: `${platformHost}:${SeriesPort.Store}`,
          policy: `${platformHost}:${SeriesPort.Policy}`,
          vms: `${platformHost}:${SeriesPort.Vms}`,
          bundle: this.#options.bundle,
          settings: SCHEDULING,
        }),
      );
    }
    for (const entry of this.entries) entry.start();
    await this.#waitUntilReady();
    this.#beginTurns();
  }

  /** Lets callers submit their jobs. */
  beginLoad(): void {
    const { seed, seconds, jobsPerSecond } = this.#options;
    const urls = this.entries.map(({ place }) =>
      `http://${place.host}:${EntryPort.Callers}`
    );
    this.#tellCallers({ kind: "open", urls, seed, seconds, jobsPerSecond });
  }

  /** Lets callers ask once for the states of these jobs. */
  askFor(jobs: string[]): void {
    this.#tellCallers({ kind: "ask", jobs });
  }

  /** Tells the host of an endpoint, of whose endpoints it is number `endpoint`. */
  tellHost(n: number, build: (endpoint: number) => HostCommand): void {
    const host = this.#hosts[Math.floor(n / ENDPOINTS_PER_HOST)];
    if (host.connected) host.send(build(n % ENDPOINTS_PER_HOST));
  }

  /** Writes the record of an endpoint's current lifetime. */
  putRecord(n: number): void {
    void this.#tellPlatform({
      kind: "put",
      key: `servers/${this.ids[n]}`,
      value: {
        service: "desk",
        addr: `${this.#getEndpointHost(n)}:${SeriesPort.EndpointRelay}`,
        zone: "a",
        state: "ready",
        room: { cpu: CAPACITY.milliCores, mem_mb: CAPACITY.memoryMb },
        labels: ["a", `r${Math.floor(n / RACK_SIZE)}`],
        born: this.#born[n],
        seq: 1,
      },
    });
    void this.#tellPlatform({ kind: "vm", vm: `m${n}`, id: this.ids[n] });
  }

  removeRecord(id: string): void {
    void this.#tellPlatform({ kind: "remove", key: `servers/${id}` });
  }

  /** Ends every process of the series. */
  async stop(): Promise<void> {
    clearInterval(this.#turns);
    for (const entry of this.entries) entry.signal("SIGCONT");
    await Promise.all(this.entries.map((entry) => entry.kill()));
    for (const host of [...this.#hosts, this.#platform, this.#callers]) {
      host.kill("SIGKILL");
    }
  }

  #noteBirth(n: number, { id, born }: { id: string; born: number }): void {
    const formerId = this.ids[n];
    this.ids[n] = id;
    this.#born[n] = born;
    this.#listener.handleBirth({ id, formerId, at: born });
  }

  async #waitUntilReady(): Promise<void> {
    const deadline = Date.now() + START_TIMEOUT_MS;
    for (const { place } of this.entries) {
      const url =
        `http://${place.host}:${EntryPort.Readiness}/baobabhead/readiness`;
      while (!await fetchReadiness(url, POLL_MS)) {
        if (Date.now() > deadline) {
          throw new Error(`${place.name} is not ready`);
        }
        await sleep(POLL_MS);
      }
    }
  }

  /** Stops and continues the entries in turns, so that they run for their share only. */
  #beginTurns(): void {
    const pauseMs = (1 - this.#options.processorShare) * TURN_MS;
    if (pauseMs < 1) return;
    this.#turns = setInterval(() => {
      for (const entry of this.entries) entry.signal("SIGSTOP");
      setTimeout(() => {
        for (const entry of this.entries) entry.signal("SIGCONT");
      }, pauseMs);
    }, TURN_MS);
  }

  #putConfig(): void {
    void this.#tellPlatform({
      kind: "put",
      key: "op/config",
      value: {
        version: 1,
        routes: SERIES_QUEUES.map((queue) => ({
          name: queue.name,
          host: "desk.example",
          prefix: `/${queue.name}/`,
          service: "desk",
          priority: queue.priority,
          attempts: 4,
          stretch: queue.stretch,
          target_latency_ms: queue.targetMs,
          advice: {
            decide_ms: queue.advice.decideMs,
            each_ms: queue.advice.eachMs,
            valid_ms: queue.advice.validMs,
          },
        })),
        tenants: [
          { name: "norte", api_keys: ["key-1"], weight: 1_000, cap: {} },
        ],
      },
    });
  }

  #getEndpointHost(n: number): string {
    return `${this.#network}.2.${n + 1}`;
  }

  #tellCallers(command: CallerCommand): void {
    this.#callers.send(command);
  }

  async #tellPlatform(command: PlatformCommand): Promise<void> {
    if (!this.#platform.connected) return;
    await new Promise<void>((resolve) =>
      this.#platform.send(command, () => resolve())
    );
  }
}

function forkHost(name: string): ChildProcess {
  return fork(fileURLToPath(new URL(`./${name}.js`, import.meta.url)));
}

function waitForMessage(child: ChildProcess): Promise<void> {
  return new Promise((resolve) => child.once("message", () => resolve()));
}
