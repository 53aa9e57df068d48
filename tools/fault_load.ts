import { type ClientRecord, sendRequest } from "../tests/harness/client.ts";
import type { Fleet } from "../tests/harness/fleet.ts";
import { sleep } from "../tests/standins/http_server.ts";

const TASK_RUN_MS = 400;
const CLIENT_COUNT = 360;
/**
 * Interval of the readiness checks. Also the timeout for reading readiness and
 * metrics, and a client's pause when its request did not run or no entry is
 * ready.
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
  #nextRequestNumber = 0;
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
    const readiness = await Promise.all(urls.map(isReady));
    this.#readyUrls = urls.filter((_, index) => readiness[index]);
  }

  async #runClient(): Promise<void> {
    while (!this.#isStopped) {
      const requestNumber = this.#nextRequestNumber++;
      // The entry changes only after each team has sent one request. Otherwise
      // a team would reach only some of the entries when the numbers of teams
      // and entries have a common divisor.
      const turn = Math.floor(requestNumber / TEAMS.length);
      const url = this.#readyUrls[turn % this.#readyUrls.length];
      if (!url) {
        await sleep(READINESS_CHECK_MS);
        continue;
      }
      const record = await sendRequest({
        url,
        team: TEAMS[requestNumber % TEAMS.length],
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
  readonly #samples: { at: number; owned: number }[] = [];
  #isStopped = false;
  readonly #loop: Promise<void>;

  constructor(fleet: Fleet) {
    this.#fleet = fleet;
    this.#loop = this.#takeSamples();
  }

  /**
   * Stops sampling. Returns the seconds from the start to the last sample in
   * which some endpoint had no owner, and the mean fraction of such endpoints.
   */
  async finish(): Promise<
    { secondsUntilOwned: number; unownedFraction: number }
  > {
    this.#isStopped = true;
    await this.#loop;
    const incompleteSamples = this.#samples.filter(({ owned }) =>
      owned < ENDPOINT_COUNT
    );
    const lastIncompleteAt = incompleteSamples.at(-1)?.at ?? this.#startedAt;
    const unownedTotal = this.#samples.reduce(
      (sum, { owned }) => sum + Math.max(0, ENDPOINT_COUNT - owned),
      0,
    );
    return {
      secondsUntilOwned: (lastIncompleteAt - this.#startedAt) / 1_000,
      unownedFraction: unownedTotal / ENDPOINT_COUNT /
        Math.max(1, this.#samples.length),
    };
  }

  async #takeSamples(): Promise<void> {
    while (!this.#isStopped) {
      const at = Date.now();
      const counts = await Promise.all(
        [...this.#fleet.entries.values()].map(readOwnedEndpoints),
      );
      const owned = counts.reduce((sum, count) => sum + count, 0);
      this.#samples.push({ at, owned });
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
