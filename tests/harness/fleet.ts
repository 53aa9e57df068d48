import { type ChildProcess, spawn } from "node:child_process";
import {
  cpSync,
  mkdirSync,
  mkdtempSync,
  openSync,
  readdirSync,
  readFileSync,
  writeFileSync,
} from "node:fs";
import { join } from "node:path";
import process from "node:process";
import { request } from "undici";
import type {
  EndpointFaults,
  HistoryEvent,
} from "../standins/endpoint_host.ts";
import type { RelayFaults } from "../standins/relay_host.ts";
import type { PlatformFaults } from "../standins/platform.ts";
import { sleep } from "../standins/http_server.ts";
import { listCommand, type ProcessLimits } from "./process_limits.ts";

const START_TIMEOUT_MS = 30_000;
const POLL_MS = 100;
const OPERATOR_KEY = "bbh.operator.example-operator-secret";

/** Options for the start of a fleet. */
export interface FleetOptions {
  /** Directory below examples/. */
  example: string;
  /**
   * First two parts of the addresses, instead of those of the example, so that
   * fleets can run side by side.
   */
  network?: string;
  /** Lines to add to each entry's settings, by section. */
  settings?: Record<string, string>;
  /** Routes peer connections through a relay that can cut entries off. */
  relay?: boolean;
  /** Limits of each entry's process. */
  limits?: ProcessLimits;
}

/** A process of an entry. */
export interface EntryProcess {
  vm: string;
  domain: string;
  /** Base URL of the entry's interface for callers and operators. */
  url: string;
  /** Path of the entry's settings file. */
  settings: string;
  child: ChildProcess;
}

/**
 * Entries and stand-ins for the platform and the endpoints, as separate
 * processes on loopback addresses.
 */
export class Fleet {
  /** Working copy of the example, with the logs of the processes. */
  readonly directory: string;
  readonly entries = new Map<string, EntryProcess>();
  /** First two parts of the site's addresses. */
  readonly network: string;
  readonly #children: ChildProcess[] = [];
  readonly #domains: string[];
  readonly #limits: ProcessLimits | undefined;

  private constructor(
    place: { directory: string; network: string; domains: string[] },
    limits?: ProcessLimits,
  ) {
    this.directory = place.directory;
    this.network = place.network;
    this.#domains = place.domains;
    this.#limits = limits;
  }

  /** Starts the stand-ins and all entries, and waits until they listen. */
  static async start(options: FleetOptions): Promise<Fleet> {
    const { directory, network } = copyExample(options);
    const vms: { domain: string }[] = JSON.parse(
      readFileSync(join(directory, "vms.json"), "utf8"),
    );
    const domains = [...new Set(vms.map((vm) => vm.domain))];
    const fleet = new Fleet({ directory, network, domains }, options.limits);
    await fleet.#startStandIns();
    if (options.relay) await fleet.#startRelay();
    for (const file of readdirSync(join(directory, "entries")).sort()) {
      fleet.startEntry(file.replace(/\.ini$/, ""));
    }
    return fleet;
  }

  /** Returns the key for operator commands. */
  get operatorKey(): string {
    return OPERATOR_KEY;
  }

  /** Starts the process of an entry. */
  startEntry(vm: string): EntryProcess {
    const settings = join(this.directory, "entries", `${vm}.ini`);
    const text = readFileSync(settings, "utf8");
    const readSetting = (key: string) =>
      new RegExp(`^${key} = (.*)$`, "m").exec(text)![1];
    const child = this.#spawn(
      ["dist/packages/cli/main.js", "serve", "--settings", settings],
      vm,
      this.#limits,
    );
    const url = `http://${readSetting("callers")}`;
    const entry = { vm, domain: readSetting("domain"), url, settings, child };
    this.entries.set(vm, entry);
    return entry;
  }

  /** Sends a signal to an entry's process. */
  signal(vm: string, signal: NodeJS.Signals): void {
    this.entries.get(vm)!.child.kill(signal);
  }

  /** Waits until an entry's process has ended and returns its exit code. */
  async waitForExit(vm: string): Promise<number | null> {
    const { child } = this.entries.get(vm)!;
    if (child.exitCode !== null) return child.exitCode;
    if (child.signalCode !== null) return null;
    return await new Promise((resolve) => child.once("exit", resolve));
  }

  /** Runs a command of the CLI and returns its exit code and output. */
  async runCommand(
    args: string[],
  ): Promise<{ code: number | null; stdout: string; stderr: string }> {
    const child = spawn(
      process.execPath,
      ["dist/packages/cli/main.js", ...args],
      { stdio: ["ignore", "pipe", "pipe"] },
    );
    let stdout = "";
    let stderr = "";
    child.stdout.on("data", (chunk) => stdout += chunk);
    child.stderr.on("data", (chunk) => stderr += chunk);
    const code = await new Promise<number | null>((resolve) =>
      child.once("close", resolve)
    );
    return { code, stdout, stderr };
  }

  /** Applies the example's configuration through one entry. */
  async applyConfig(entry: EntryProcess): Promise<void> {
    const config = join(this.directory, "config");
    const result = await this.runCommand([
      "apply",
      config,
      "--entry",
      entry.url,
      "--key",
      OPERATOR_KEY,
    ]);
    if (result.code !== 0) {
      throw new Error(`Cannot apply configuration: ${result.stderr}`);
    }
  }

  /** Waits until the status of an entry meets a condition. */
  async waitForStatus(
    entry: EntryProcess,
    // deno-lint-ignore no-explicit-any
    isMet: (status: any) => boolean,
    timeoutMs = START_TIMEOUT_MS,
  ): Promise<void> {
    const until = Date.now() + timeoutMs;
    while (Date.now() < until) {
      const status = await this.readAdmin(entry, "status").catch(() => null);
      if (status && isMet(status)) return;
      await sleep(POLL_MS);
    }
    throw new Error(`Timed out waiting for the status of ${entry.vm}`);
  }

  /** Waits until `count` endpoints of all entries together can start tasks. */
  async waitForEndpoints(count: number): Promise<void> {
    const [entry] = this.entries.values();
    await this.waitForStatus(entry, (status) => {
      const loads = status.entries.map((
        entryStatus: { load?: { endpoints: number } },
      ) => entryStatus.load?.endpoints ?? 0);
      return loads.reduce((sum: number, n: number) => sum + n, 0) === count;
    });
  }

  /** Reads `status`, `dump` or `config` of an entry. */
  async readAdmin(entry: EntryProcess, path: string) {
    const response = await request(`${entry.url}/v1/admin/${path}`, {
      headers: { authorization: `Bearer ${OPERATOR_KEY}` },
      signal: AbortSignal.timeout(5_000),
    });
    // deno-lint-ignore no-explicit-any
    return await response.body.json() as any;
  }

  /** Injects faults into the platform and returns its call counts. */
  async setPlatformFaults(
    faults: PlatformFaults,
  ): Promise<{ reads: number; commits: number; vmLists: number }> {
    const url = `http://${this.network}.0.1:2379/control`;
    return await postJson(url, faults) as {
      reads: number;
      commits: number;
      vmLists: number;
    };
  }

  /** Cuts connections between entries, by prefixes of their addresses. */
  async setRelayFaults(faults: RelayFaults): Promise<void> {
    await postJson(`http://${this.network}.0.1:3100/control`, faults);
  }

  /** Injects faults into endpoints of one failure domain. */
  async setEndpointFaults(
    domain: string,
    faults: EndpointFaults,
  ): Promise<void> {
    await postJson(`${this.#findHostUrl(domain)}/control`, faults);
  }

  /** Reads the histories of all endpoints, sorted by time. */
  async readHistory(): Promise<HistoryEvent[]> {
    const histories = await Promise.all(
      this.#domains.map((domain) =>
        postJson(`${this.#findHostUrl(domain)}/history`, {})
      ),
    );
    return (histories as HistoryEvent[][]).flat().sort((a, b) => a.at - b.at);
  }

  /** Kills every process that this fleet started. */
  async stop(): Promise<void> {
    await Promise.all(this.#children.map(killChild));
  }

  async #startStandIns(): Promise<void> {
    const vmsFile = join(this.directory, "vms.json");
    const host = `${this.network}.0.1`;
    const platform = this.#spawn(
      ["dist/tests/standins/platform.js", host, "2379", "2380", vmsFile],
      "platform",
    );
    const endpointHosts = this.#domains.map((domain, index) => {
      const port = String(3_000 + index);
      const script = "dist/tests/standins/endpoint_host.js";
      return this.#spawn([script, domain, vmsFile, host, port], domain);
    });
    await Promise.all([platform, ...endpointHosts].map(waitForReady));
  }

  async #startRelay(): Promise<void> {
    const routes: string[] = [];
    for (const file of readdirSync(join(this.directory, "entries"))) {
      const path = join(this.directory, "entries", file);
      const text = readFileSync(path, "utf8");
      const [, host, port] = /^peers = (.*):(\d+)$/m.exec(text)!;
      const advertised = `${host}:${Number(port) + 100}`;
      routes.push(`${advertised}=${host}:${port}`);
      const lines = `advertise_peers = ${advertised}`;
      writeFileSync(path, addLines(text, "listen", lines));
    }
    const host = `${this.network}.0.1`;
    const script = "dist/tests/standins/relay_host.js";
    await waitForReady(this.#spawn([script, host, "3100", ...routes], "relay"));
  }

  #findHostUrl(domain: string): string {
    const port = 3_000 + this.#domains.indexOf(domain);
    return `http://${this.network}.0.1:${port}`;
  }

  #spawn(
    script: string[],
    name: string,
    limits?: ProcessLimits,
  ): ChildProcess {
    const log = openSync(join(this.directory, `${name}.log`), "a");
    const [command, ...args] = listCommand(script, limits);
    const child = spawn(command, args, {
      stdio: ["ignore", "pipe", log],
    });
    this.#children.push(child);
    return child;
  }
}

/** Sends a POST request with a JSON body and returns the JSON answer. */
export async function postJson(url: string, body: unknown): Promise<unknown> {
  const response = await request(url, {
    method: "POST",
    body: JSON.stringify(body),
    headers: { "content-type": "application/json" },
  });
  return await response.body.json();
}

function copyExample(
  options: FleetOptions,
): { directory: string; network: string } {
  mkdirSync("run", { recursive: true });
  const directory = mkdtempSync(join("run", `${options.example}-`));
  cpSync(join("examples", options.example), directory, { recursive: true });
  const vms = readFileSync(join(directory, "vms.json"), "utf8");
  const exampleNetwork = /"address": "(\d+\.\d+)\./.exec(vms)![1];
  const network = options.network ?? exampleNetwork;
  const replaceNetwork = (text: string) =>
    text.replaceAll(`${exampleNetwork}.`, `${network}.`);
  writeFileSync(join(directory, "vms.json"), replaceNetwork(vms));
  for (const file of readdirSync(join(directory, "entries"))) {
    const path = join(directory, "entries", file);
    let text = replaceNetwork(readFileSync(path, "utf8"));
    for (const [section, lines] of Object.entries(options.settings ?? {})) {
      text = addLines(text, section, lines);
    }
    writeFileSync(path, text);
  }
  return { directory, network };
}

function addLines(text: string, section: string, lines: string): string {
  const header = `[${section}]`;
  return text.includes(header)
    ? text.replace(header, `${header}\n${lines}`)
    : `${text}\n${header}\n${lines}\n`;
}

function waitForReady(child: ChildProcess): Promise<void> {
  return new Promise((resolve, reject) => {
    child.stdout!.once("data", () => resolve());
    child.once("exit", () => reject(new Error("Cannot start a stand-in")));
  });
}

function killChild(child: ChildProcess): Promise<void> {
  if (child.exitCode !== null || child.signalCode !== null) {
    return Promise.resolve();
  }
  return new Promise((resolve) => {
    child.once("exit", () => resolve());
    child.kill("SIGCONT");
    child.kill("SIGKILL");
  });
}
