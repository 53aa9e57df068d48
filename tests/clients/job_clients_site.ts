import { mkdirSync, mkdtempSync } from "node:fs";
import { join } from "node:path";
import { request } from "undici";
import type { ProcessLimits } from "../harness/process_limits.ts";
import { EntryPort } from "../soak/entry_process.ts";
import { fetchReadiness } from "../soak/network.ts";
import { SoakSite } from "../soak/soak_site.ts";
import { RETRY_MS, WAIT_MS } from "./constants.ts";
import {
  countDescriptors,
  isRunning,
  measureMemoryPeak,
} from "./process_state.ts";
import { waitUntil } from "./wait_until.ts";

/** API key of the only organisation of the site. */
export const KEY = "norte-key-1";

/** Headers of an ordinary request. */
export const HEADERS = { host: "desk.example", "x-api-key": KEY };

const BUNDLE = "target/entry.cjs";

/** Entries of stored jobs as processes, with stand-ins for the platform. */
export class JobClientsSite {
  readonly site: SoakSite;
  readonly #pids: number[] = [];
  #lastJob = 0;

  private constructor(site: SoakSite) {
    this.site = site;
  }

  /** Starts two entries and waits until both are ready. */
  static async start(
    network: string,
    { limits }: { limits: ProcessLimits },
  ): Promise<JobClientsSite> {
    mkdirSync("run", { recursive: true });
    const directory = mkdtempSync(join("run", "clients-"));
    const soakSite = new SoakSite({
      network,
      directory,
      bundle: BUNDLE,
      limits,
    });
    const site = new JobClientsSite(soakSite);
    await soakSite.start({ entries: 2, endpoints: 2 }, 1);
    soakSite.applyConfig([KEY]);
    await site.#waitUntilReady();
    return site;
  }

  /** Kills both entries and starts them with further sections of settings. */
  async restart(settings: string): Promise<void> {
    for (const entry of this.site.entries) {
      await entry.kill();
      entry.place.settings = settings;
      entry.writeSettings("info");
      entry.start();
    }
    await this.#waitUntilReady();
  }

  async stop(): Promise<void> {
    await this.site.stop();
  }

  /** Returns the number of the entry that owns the cell. */
  findOwner(): number {
    return this.site.findOwner();
  }

  /** Returns an address of an entry, without the relay. */
  getAddress(
    entry: number,
    port = EntryPort.Callers,
  ): { host: string; port: number } {
    return { host: this.site.entries[entry].place.host, port };
  }

  /** Returns the process id with which an entry was started. */
  getPid(entry: number): number {
    return this.#pids[entry];
  }

  /** Lists the entries whose first process has ended. */
  listEnded(): number[] {
    return this.site.entries.map((_, n) => n)
      .filter((n) => !isRunning(this.#pids[n]));
  }

  /** Returns the largest memory that an entry's process has had, in MB. */
  measureLargestMemory(): number {
    return Math.max(...this.#pids.filter(isRunning).map(measureMemoryPeak));
  }

  /** Returns the largest number of descriptors that an entry has open. */
  countMostDescriptors(): number {
    return Math.max(...this.#pids.filter(isRunning).map(countDescriptors));
  }

  /** Returns whether an entry accepts an ordinary job and shows its state. */
  async canServe(entry: number): Promise<boolean> {
    const id = (++this.#lastJob).toString(16).padStart(16, "a");
    const step = { count: 1, cpu: 100, mem_mb: 50, estimate_ms: 100 };
    const body = { task_spec: "ordinary", steps: [step] };
    return await waitUntil(async () =>
      await this.send(entry, { method: "POST", id, body }) === 200 &&
      await this.send(entry, { method: "GET", id }) === 200
    );
  }

  /** Returns whether an entry's process ends by itself after SIGTERM. */
  async canStop(entry: number): Promise<boolean> {
    this.site.entries[entry].signal("SIGTERM");
    return await waitUntil(() => !isRunning(this.#pids[entry]));
  }

  /** Sends one request on a connection of its own; 0: no answer. */
  async send(
    entry: number,
    { method, id, body }: {
      method: "GET" | "POST" | "DELETE";
      id: string;
      body?: object;
    },
  ): Promise<number> {
    const { host, port } = this.getAddress(entry);
    try {
      const answer = await request(`http://${host}:${port}/filings/${id}`, {
        method,
        body: body && JSON.stringify(body),
        headers: HEADERS,
        reset: true,
        signal: AbortSignal.timeout(WAIT_MS),
      });
      await answer.body.dump();
      return answer.statusCode;
    } catch {
      return 0;
    }
  }

  async #waitUntilReady(): Promise<void> {
    const { entries } = this.site;
    this.#pids.splice(0, Infinity, ...entries.map(({ pid = 0 }) => pid));
    await waitUntil(async () => {
      const areReady = await Promise.all(
        entries.map((_, n) =>
          fetchReadiness(this.site.getReadinessUrl(n), RETRY_MS)
        ),
      );
      return areReady.every(Boolean);
    });
  }
}
