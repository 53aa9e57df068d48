import { type ClientRecord, sendRequest } from "../tests/harness/client.ts";
import type { Fleet } from "../tests/harness/fleet.ts";
import { sleep } from "../tests/standins/http_server.ts";

const TASK_RUN_MS = 400;
const CLIENT_COUNT = 360;
/**
 * Interval of readiness checks, timeout of reads of readiness and metrics, and
 * pause after a request that did not run.
 */
const READINESS_CHECK_MS = 500;
const SAMPLE_INTERVAL_MS = 200;
const ENDPOINT_COUNT = 30;
const REQUEST_TIMEOUT_MS = 8_000;
const TEAMS = [
  "guanacaste-norte",
  "coopeganado",
  "pastos-del-sur",
  "lecheria-central",
];

/**
 * Keeps more requests in flight than the endpoints have slots, and spreads them
 * over the entries whose readiness check succeeds, as a load balancer does.
 */
export class LoadGenerator {
  readonly #fleet: Fleet;
  readonly #records: ClientRecord[] = [];
  readonly #clientLoops: Promise<void>[];
  readonly #readinessTimer: NodeJS.Timeout;
  #readyUrls: string[];
  #nextNumber = 0;
  #isStopped = false;

  constructor(fleet: Fleet) {
    this.#fleet = fleet;
    this.#readyUrls = [...fleet.entries.values()].map(({ url }) => url);
    this.#readinessTimer = setInterval(
      () => void this.#checkReadiness(),
      READINESS_CHECK_MS,
    );
    this.#clientLoops = Array.from(
      { length: CLIENT_COUNT },
      () => this.#runClient(),
    );
  }

  /** Stops sending, waits for all answers and returns their records. */
  async finish(): Promise<ClientRecord[]> {
    this.#isStopped = true;
    clearInterval(this.#readinessTimer);
    await Promise.all(this.#clientLoops);
    return this.#records;
  }

  async #checkReadiness(): Promise<void> {
    const urls = [...this.#fleet.entries.values()].map(({ url }) => url);
    const states = await Promise.all(urls.map(isReady));
    this.#readyUrls = urls.filter((_, index) => states[index]);
  }

  async #runClient(): Promise<void> {
    while (!this.#isStopped) {
      const number = this.#nextNumber++;
      // The entry changes only after each team has sent one request. Otherwise
      // a team would reach only some of the entries when the numbers of teams
      // and entries have a common divisor.
      const turn = Math.floor(number / TEAMS.length);
      const url = this.#readyUrls[turn % this.#readyUrls.length];
      if (!url) {
        await sleep(READINESS_CHECK_MS);
        continue;
      }
      const record = await sendRequest({
        url,
        team: TEAMS[number % TEAMS.length],
        queue: "ear-tag-batches",
        runMs: TASK_RUN_MS,
        timeoutMs: REQUEST_TIMEOUT_MS,
      });
      this.#records.push(record);
      if (record.verdict !== "ran") await sleep(READINESS_CHECK_MS);
    }
  }
}

async function isReady(url: string): Promise<boolean> {
  try {
    const response = await fetch(`${url}/readyz`, {
      signal: AbortSignal.timeout(READINESS_CHECK_MS),
    });
    return response.ok;
  } catch {
    return false;
  }
}

/** Samples how many endpoints the entries own, from their metrics. */
export class OwnershipMonitor {
  readonly #fleet: Fleet;
  readonly #startedAt = Date.now();
  readonly #samples: { at: number; serving: number }[] = [];
  #isStopped = false;
  readonly #loop: Promise<void>;

  constructor(fleet: Fleet) {
    this.#fleet = fleet;
    this.#loop = this.#takeSamples();
  }

  /**
   * Returns the seconds from the start to the last sample with an endpoint
   * that no entry owned, and the mean fraction of such endpoints.
   */
  async finish(): Promise<{ seconds: number; strandedPart: number }> {
    this.#isStopped = true;
    await this.#loop;
    const incomplete = this.#samples.filter(({ serving }) =>
      serving < ENDPOINT_COUNT
    );
    const lastIncompleteAt = incomplete.at(-1)?.at ?? this.#startedAt;
    const missingCount = this.#samples.reduce(
      (sum, { serving }) => sum + Math.max(0, ENDPOINT_COUNT - serving),
      0,
    );
    return {
      seconds: (lastIncompleteAt - this.#startedAt) / 1_000,
      strandedPart: missingCount / ENDPOINT_COUNT /
        Math.max(1, this.#samples.length),
    };
  }

  async #takeSamples(): Promise<void> {
    while (!this.#isStopped) {
      const at = Date.now();
      const counts = await Promise.all(
        [...this.#fleet.entries.values()].map(readOwnedEndpoints),
      );
      const serving = counts.reduce((sum, count) => sum + count, 0);
      this.#samples.push({ at, serving });
      await sleep(SAMPLE_INTERVAL_MS);
    }
  }
}

async function readOwnedEndpoints(entry: { url: string }): Promise<number> {
  try {
    const response = await fetch(`${entry.url}/metrics`, {
      signal: AbortSignal.timeout(READINESS_CHECK_MS),
    });
    const text = await response.text();
    return Number(/^baobabhead_owned_endpoints (\d+)$/m.exec(text)?.[1] ?? 0);
  } catch {
    return 0;
  }
}
