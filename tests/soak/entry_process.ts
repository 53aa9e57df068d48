import { type ChildProcess, spawn } from "node:child_process";
import { openSync, readFileSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import process from "node:process";
import { listCommand, type ProcessLimits } from "../harness/process_limits.ts";
import { sleep } from "../standins/http_server.ts";
import { STOP_GRACE_MS } from "./constants.ts";

/** Ports of an entry; callers and peers come through the relay. */
export enum EntryPort {
  Callers = 7_101,
  Readiness = 7_102,
  Peers = 7_103,
  Operations = 7_104,
}

/** Where an entry runs and what it talks to; addresses as `host:port`. */
export interface EntryPlace {
  name: string;
  host: string;
  /** Folder for the settings and the log. */
  directory: string;
  advertisedPeers: string;
  store: string;
  policy: string;
  vms: string;
  /** File with the program. */
  bundle: string;
  /** Further sections of the settings file. */
  settings?: string;
  /** Limits of the process; by default those of `deploy/system.toml`. */
  limits?: ProcessLimits;
}

/** Limits of `deploy/system.toml`. */
const DEFAULT_LIMITS: ProcessLimits = { heapMb: 220 };
const NODE_ARGS = ["--max-semi-space-size=8"];

/** Entries that run; they end with this process. */
const children = new Set<ChildProcess>();
process.once("exit", () => {
  for (const child of children) child.kill("SIGKILL");
});

/** One entry of the soak: the real bundle as a process. */
export class EntryProcess {
  readonly place: EntryPlace;
  readonly #settingsFile: string;
  #child: ChildProcess | undefined;
  #exited: Promise<void> = Promise.resolve();

  constructor(place: EntryPlace) {
    this.place = place;
    this.#settingsFile = join(place.directory, `${place.name}.ini`);
    this.writeSettings("info");
  }

  /** Process id; undefined while the entry does not run. */
  get pid(): number | undefined {
    return this.#child?.pid;
  }

  /** Returns the resident memory of the process in MB; 0 if it does not run. */
  measureMemory(): number {
    if (this.pid === undefined) return 0;
    const status = readFileSync(`/proc/${this.pid}/status`, "utf8");
    const [, kilobytes = "0"] = /^VmRSS:\s+(\d+) kB/m.exec(status) ?? [];
    return Number(kilobytes) / 1_024;
  }

  /** Writes the settings file, which the entry reads at its start and SIGHUP. */
  writeSettings(logLevel: string): void {
    const { place } = this;
    const { host } = place;
    writeFileSync(
      this.#settingsFile,
      `[vm]
name = ${place.name}
domain = a
address = ${host}
[listen]
callers = ${host}:${EntryPort.Callers}
readiness = ${host}:${EntryPort.Readiness}
peers = ${host}:${EntryPort.Peers}
advertise_peers = ${place.advertisedPeers}
operations = ${host}:${EntryPort.Operations}
[store]
address = ${place.store}
[policy]
address = ${place.policy}
[vms]
address = ${place.vms}
[bounds]
task_lease_ms = 6000
key_revocation_ms = 5000
ended_jobs_ms = 120000
[log]
level = ${logLevel}
${place.settings ?? ""}`,
    );
  }

  start(): void {
    if (this.#child) return;
    const { directory, name, bundle, limits } = this.place;
    const log = openSync(join(directory, `${name}.log`), "a");
    const [command, ...args] = listCommand([...NODE_ARGS, bundle], {
      ...DEFAULT_LIMITS,
      ...limits,
    });
    const child = spawn(command, args, {
      stdio: ["ignore", log, log],
      env: { PATH: process.env.PATH, BAOBABHEAD_NODE_FILE: this.#settingsFile },
    });
    this.#child = child;
    children.add(child);
    this.#exited = new Promise((resolve) => {
      child.once("exit", () => {
        children.delete(child);
        if (this.#child === child) this.#child = undefined;
        resolve();
      });
    });
  }

  signal(signal: "SIGTERM" | "SIGHUP" | "SIGSTOP" | "SIGCONT" | "SIGKILL") {
    this.#child?.kill(signal);
  }

  /** Kills the process and waits for its end. */
  async kill(): Promise<void> {
    this.signal("SIGKILL");
    await this.#exited;
  }

  /** Sends SIGTERM, and SIGKILL after the grace period, as the platform does. */
  async stop(): Promise<void> {
    this.signal("SIGTERM");
    const hasExited = this.#exited.then(() => true);
    const isInTime = await Promise.race([hasExited, sleep(STOP_GRACE_MS)]);
    if (!isInTime) await this.kill();
  }
}
