import { type ClientRecord, sendRequest } from "../tests/harness/client.ts";
import type { Fleet } from "../tests/harness/fleet.ts";
import { sleep } from "../tests/standins/http_server.ts";

const RUN_MS = 400;
const CONCURRENCY = 360;
const CHECK_MS = 500;
const WATCH_MS = 200;
const ENDPOINTS = 30;
const TIMEOUT_MS = 8_000;
const TEAMS = [
  "guanacaste-norte",
  "coopeganado",
  "pastos-del-sur",
  "lecheria-central",
];

/**
 * Keeps more requests under way than the endpoints have slots, and sends them
 * to the entries that say that they are ready, as a balancer does.
 */
export class Load {
  readonly #fleet: Fleet;
  readonly #records: ClientRecord[] = [];
  readonly #workers: Promise<void>[];
  readonly #checks: NodeJS.Timeout;
  #ready: string[];
  #number = 0;
  #stopped = false;

  constructor(fleet: Fleet) {
    this.#fleet = fleet;
    this.#ready = [...fleet.entries.values()].map(({ url }) => url);
    this.#checks = setInterval(() => void this.#check(), CHECK_MS);
    this.#workers = Array.from({ length: CONCURRENCY }, () => this.#work());
  }

  async finish(): Promise<ClientRecord[]> {
    this.#stopped = true;
    clearInterval(this.#checks);
    await Promise.all(this.#workers);
    return this.#records;
  }

  async #check(): Promise<void> {
    const urls = [...this.#fleet.entries.values()].map(({ url }) => url);
    const states = await Promise.all(urls.map(isReady));
    this.#ready = urls.filter((_, index) => states[index]);
  }

  async #work(): Promise<void> {
    while (!this.#stopped) {
      const number = this.#number++;
      // Every team comes to every entry, also when their numbers divide.
      const turn = Math.floor(number / TEAMS.length);
      const url = this.#ready[turn % this.#ready.length];
      if (!url) {
        await sleep(CHECK_MS);
        continue;
      }
      const record = await sendRequest({
        url,
        team: TEAMS[number % TEAMS.length],
        queue: "ear-tag-batches",
        runMs: RUN_MS,
        timeoutMs: TIMEOUT_MS,
      });
      this.#records.push(record);
      if (record.verdict !== "ran") await sleep(CHECK_MS);
    }
  }
}

async function isReady(url: string): Promise<boolean> {
  try {
    const response = await fetch(`${url}/readyz`, {
      signal: AbortSignal.timeout(CHECK_MS),
    });
    return response.ok;
  } catch {
    return false;
  }
}

/** Watches how many endpoints the entries say that they serve. */
export class Watch {
  readonly #fleet: Fleet;
  readonly #began = Date.now();
  readonly #samples: { at: number; serving: number }[] = [];
  #done = false;
  readonly #loop: Promise<void>;

  constructor(fleet: Fleet) {
    this.#fleet = fleet;
    this.#loop = this.#run();
  }

  /** Returns how long endpoints were missing, and the mean missing part. */
  async finish(): Promise<{ seconds: number; strandedPart: number }> {
    this.#done = true;
    await this.#loop;
    const short = this.#samples.filter(({ serving }) => serving < ENDPOINTS);
    const last = short.at(-1)?.at ?? this.#began;
    const missing = this.#samples.reduce(
      (sum, { serving }) => sum + Math.max(0, ENDPOINTS - serving),
      0,
    );
    return {
      seconds: (last - this.#began) / 1_000,
      strandedPart: missing / ENDPOINTS / Math.max(1, this.#samples.length),
    };
  }

  async #run(): Promise<void> {
    while (!this.#done) {
      const at = Date.now();
      const counts = await Promise.all(
        [...this.#fleet.entries.values()].map(countServing),
      );
      const serving = counts.reduce((sum, count) => sum + count, 0);
      this.#samples.push({ at, serving });
      await sleep(WATCH_MS);
    }
  }
}

async function countServing(entry: { url: string }): Promise<number> {
  try {
    const response = await fetch(`${entry.url}/metrics`, {
      signal: AbortSignal.timeout(CHECK_MS),
    });
    const text = await response.text();
    return Number(/^baobabhead_owned_endpoints (\d+)$/m.exec(text)?.[1] ?? 0);
  } catch {
    return 0;
  }
}
