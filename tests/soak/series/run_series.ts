import { mkdirSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import type { Random } from "../../../packages/base/mod.ts";
import { EndpointEventKind } from "../../standins/endpoint_lifetime.ts";
import { sleep } from "../../standins/http_server.ts";
import { LinkFault } from "../../standins/relay.ts";
import { SoakChecker } from "../checker.ts";
import { FINISH_MS, IDLE_MS } from "../constants.ts";
import { reserveNetwork } from "../network.ts";
import { createRandom } from "../schedule.ts";
import {
  CallKind,
  type SoakEvent,
  SoakEventKind,
  type Violation,
} from "../types.ts";
import type { Room } from "../room_history.ts";
import { CAPACITY, SeriesSite } from "./series_site.ts";
import type { CallerReport, SeriesOptions } from "./types.ts";
import { measureWaits, type WaitSummary } from "./waits.ts";
import { measureLongestWork } from "./workload.ts";

/** Time without faults at the start of the load, in milliseconds. */
const CALM_START_MS = 3_000;
/** How far the events of all processes may be apart, in milliseconds. */
const EVENT_LAG_MS = 500;
/** Earliest and latest crash after the begin of its cut, in milliseconds. */
const CRASH_RANGE_MS = [200, 1_000];
/** Earliest and latest birth of the next lifetime after the crash, in milliseconds. */
const BIRTH_RANGE_MS = [100, 900];
/** Longest time from a birth, or the end of its cut, to the next record, in milliseconds. */
const RECORD_MS = 300;
/** Silence after which the record of an endpoint is removed, in milliseconds. */
const RECORD_LIFETIME_MS = 4_500;
const FAULTS = [
  LinkFault.Silence,
  LinkFault.Silence,
  LinkFault.HoldAnswers,
  LinkFault.Cut,
];
const ASK_INTERVAL_MS = 1_000;
const NO_ROOM: Room = { milliCores: 0, memoryMb: 0 };

/** Result of a series. */
export interface SeriesReport {
  violations: Violation[];
  counts: Record<string, number>;
  restarts: number;
  waits: WaitSummary;
  /** Time from the end of the load until all jobs were completed, in milliseconds. */
  finishedAfterMs: number;
  /** Folder with the logs of the entries. */
  directory: string;
}

/**
 * Restarts a share of the endpoints in each step, each behind a cut, under a steady
 * load, and checks what callers and endpoints see.
 */
export async function runSeries(options: SeriesOptions): Promise<SeriesReport> {
  const { network, reservation } = await reserveNetwork(options.seed);
  const run = new SeriesRun(options, network);
  try {
    return await run.run();
  } finally {
    await run.close();
    reservation.close();
  }
}

class SeriesRun {
  readonly #options: SeriesOptions;
  readonly #directory: string;
  readonly #site: SeriesSite;
  readonly #checker = new SoakChecker();
  readonly #random: Random;
  readonly #history: SoakEvent[] = [];
  #pending: SoakEvent[] = [];
  readonly #down = new Set<number>();
  #restarts = 0;
  /** Time that the last jobs get after `FINISH_MS`: the longest work of a job, in ms. */
  #longestWorkMs = 0;
  #isAsked: () => void = () => {};

  constructor(options: SeriesOptions, network: string) {
    this.#options = options;
    const { seed } = options;
    this.#directory = join("run", `series-${seed}-${Date.now()}`);
    mkdirSync(this.#directory, { recursive: true });
    this.#random = createRandom(seed);
    this.#site = new SeriesSite(options, {
      network,
      directory: this.#directory,
      listener: {
        handleHostReport: ({ events }) => this.#pending.push(...events),
        handleCallerReport: (report) => this.#noteCaller(report),
        handleBirth: ({ id, formerId, at }) => {
          if (id !== formerId) this.#noteRoom(formerId, at, NO_ROOM);
          this.#noteRoom(id, at, CAPACITY);
        },
      },
    });
  }

  async run(): Promise<SeriesReport> {
    const { seconds, gapMs, endpoints, cutShare } = this.#options;
    await this.#site.start();
    const at = Date.now();
    this.#pending.push({ kind: SoakEventKind.Config, at, keys: ["key-1"] });
    this.#site.beginLoad();
    const endsAt = Date.now() + seconds * 1_000;
    await sleep(CALM_START_MS);
    const count = Math.round(endpoints * cutShare);
    while (Date.now() < endsAt - this.#options.cutMs) {
      for (let n = 0; n < count; n++) void this.#restartBehindCut();
      await sleep(gapMs);
    }
    await sleep(endsAt - Date.now());
    this.#noteLoadEnd(Date.now());
    await sleep(FINISH_MS + IDLE_MS);
    const finishedAt = await this.#waitForJobs(
      endsAt + FINISH_MS + IDLE_MS + this.#longestWorkMs,
    );
    this.#checker.finish(Date.now());
    const { violations, counts } = this.#checker;
    writeFileSync(
      join(this.#directory, "history.jsonl"),
      this.#history.map((event) => JSON.stringify(event)).join("\n"),
    );
    return {
      violations,
      counts,
      restarts: this.#restarts,
      waits: measureWaits(this.#history, endsAt),
      finishedAfterMs: finishedAt - endsAt,
      directory: this.#directory,
    };
  }

  async close(): Promise<void> {
    await this.#site.stop();
  }

  /** Cuts an endpoint off, crashes it behind the cut, and starts it again. */
  async #restartBehindCut(): Promise<void> {
    const { endpoints, cutMs, sameIdRatio } = this.#options;
    const up = Array.from({ length: endpoints }, (_, n) => n)
      .filter((n) => !this.#down.has(n));
    if (up.length === 0) return;
    const n = up[this.#random.drawInt(up.length)];
    this.#down.add(n);
    this.#restarts++;
    const fault = FAULTS[this.#random.drawInt(FAULTS.length)];
    const crashMs = this.#drawBetween(CRASH_RANGE_MS);
    const birthMs = crashMs + this.#drawBetween(BIRTH_RANGE_MS);
    const keepsId = this.#random.drawFloat() < sameIdRatio;
    const recordMs = Math.max(cutMs, birthMs) +
      this.#random.drawInt(RECORD_MS);
    const formerId = this.#site.ids[n];
    const id = keepsId
      ? formerId
      : `${formerId.split("-")[0]}-${this.#restarts}`;
    const at = Date.now();
    this.#site.tellHost(n, (endpoint) => ({ kind: "cut", endpoint, fault }));
    const wait = (ms: number) => sleep(at + ms - Date.now());
    await Promise.all([
      wait(crashMs).then(() =>
        this.#site.tellHost(n, (endpoint) => ({ kind: "crash", endpoint }))
      ),
      wait(birthMs).then(() =>
        this.#site.tellHost(
          n,
          (endpoint) => ({ kind: "restart", endpoint, id }),
        )
      ),
      wait(cutMs).then(() =>
        this.#site.tellHost(n, (endpoint) => ({ kind: "heal", endpoint }))
      ),
      wait(recordMs).then(() => this.#site.putRecord(n)),
    ]);
    this.#down.delete(n);
    if (keepsId) return;
    await wait(RECORD_LIFETIME_MS);
    this.#site.removeRecord(formerId);
  }

  #noteRoom(endpoint: string, at: number, room: Room): void {
    this.#pending.push({ kind: SoakEventKind.Room, at, endpoint, ...room });
  }

  #drawBetween([least, most]: number[]): number {
    return least + this.#random.drawInt(most - least);
  }

  #noteLoadEnd(at: number): void {
    this.#pending.push({ kind: SoakEventKind.Healed, at });
    this.#pending.push({ kind: SoakEventKind.Recovered, at, entry: 0 });
  }

  #noteCaller(report: CallerReport): void {
    if (report.kind === "asked") return this.#isAsked();
    if (report.kind === "submitted") return;
    const { at } = report;
    if (report.kind === "job") {
      const workMs = measureLongestWork(report.job, CAPACITY);
      this.#longestWorkMs = Math.max(this.#longestWorkMs, workMs);
      this.#pending.push({ kind: SoakEventKind.Job, at, job: report.job });
      return;
    }
    const isState = report.kind === "state";
    this.#pending.push({
      kind: SoakEventKind.Call,
      at,
      sentAt: at,
      call: isState ? CallKind.Find : CallKind.Submit,
      entry: 0,
      job: report.job,
      key: "key-1",
      status: report.status,
      state: isState ? report.state : "",
      isWhole: true,
      detail: "",
      hasTimedOut: report.status === 0,
      isRefused: false,
    });
  }

  /** Lets the checker observe the events up to this time, in their order. */
  #check(until: number): void {
    const events = this.#pending.filter(({ at }) => at <= until);
    this.#pending = this.#pending.filter(({ at }) => at > until);
    events.sort((a, b) => a.at - b.at);
    for (const event of events) {
      this.#history.push(event);
      this.#checker.observe(event);
    }
  }

  /** Asks for all unfinished jobs until none is left; returns when that was. */
  async #waitForJobs(deadline: number): Promise<number> {
    for (;;) {
      this.#check(Date.now() - EVENT_LAG_MS);
      const jobs = this.#checker.listUnfinishedJobs();
      if (jobs.length === 0 || Date.now() > deadline) break;
      const isAsked = new Promise<void>((resolve) => this.#isAsked = resolve);
      this.#site.askFor(jobs);
      await isAsked;
      await sleep(ASK_INTERVAL_MS);
    }
    await sleep(EVENT_LAG_MS);
    this.#check(Date.now());
    return this.#history.reduce(
      (last, event) => event.kind === EndpointEventKind.Ended ? event.at : last,
      0,
    );
  }
}
