import type { EndpointEvent } from "../../standins/endpoint_lifetime.ts";
import type { LinkFault } from "../../standins/relay.ts";
import type { SoakStep } from "../types.ts";

/** Size, load and faults of a series. Times in milliseconds unless said. */
export interface SeriesOptions {
  seed: number;
  /** Time for which callers submit jobs, in seconds; the restarts end with it. */
  seconds: number;
  entries: number;
  endpoints: number;
  jobsPerSecond: number;
  /** Share of the endpoints that each step cuts off and restarts. */
  cutShare: number;
  cutMs: number;
  gapMs: number;
  /** Share of the restarted endpoints that keep their id. */
  sameIdRatio: number;
  /** Share of the time for which the entries' processes may run. */
  processorShare: number;
  /** File with the program. */
  bundle: string;
}

/** Defaults: the size of the users' smallest site, and a sixth of it each second. */
export const SERIES_DEFAULTS: SeriesOptions = {
  seed: 1,
  seconds: 42,
  entries: 9,
  endpoints: 33,
  jobsPerSecond: 38,
  cutShare: 0.17,
  cutMs: 1_500,
  gapMs: 1_000,
  sameIdRatio: 0.5,
  processorShare: 1,
  bundle: "target/entry.cjs",
};

/** Address prefixes and ports of a series. */
export enum SeriesPort {
  Store = 7_110,
  Policy = 7_111,
  Vms = 7_112,
  Endpoint = 7_120,
  /** Where entries reach an endpoint: behind its relay. */
  EndpointRelay = 8_120,
}

/** A job of a series; its queue is `SERIES_QUEUES[queue]`. */
export interface SeriesJob {
  id: string;
  queue: number;
  payload: string;
  steps: (SoakStep & { longRunning: boolean })[];
}

/** What the process that hosts endpoints is told. */
export type HostCommand =
  | { kind: "open"; endpoints: { id: string; host: string }[] }
  | { kind: "cut"; endpoint: number; fault: LinkFault }
  | { kind: "heal"; endpoint: number }
  | { kind: "crash"; endpoint: number }
  | { kind: "restart"; endpoint: number; id: string };

/** What it reports; `endpoint` is the index in `open`. */
export type HostReport =
  | { kind: "ready" }
  | { kind: "born"; endpoint: number; id: string; born: number }
  | { kind: "events"; events: EndpointEvent[] };

/** What the process with the store and the policy service is told. */
export type PlatformCommand =
  | { kind: "open"; host: string }
  | { kind: "put"; key: string; value: unknown }
  | { kind: "remove"; key: string }
  | { kind: "vm"; vm: string; id: string };

/** What the process of the callers is told. */
export type CallerCommand =
  | {
    kind: "open";
    urls: string[];
    seed: number;
    seconds: number;
    jobsPerSecond: number;
  }
  | { kind: "ask"; jobs: string[] };

/** What the callers report: jobs made up, accepted, and states seen. */
export type CallerReport =
  | { kind: "job"; at: number; job: SeriesJob }
  | { kind: "answer"; at: number; job: string; status: number }
  | { kind: "state"; at: number; job: string; status: number; state: string }
  | { kind: "submitted" }
  | { kind: "asked" };
