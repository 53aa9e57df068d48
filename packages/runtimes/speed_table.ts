import {
  MAX_ENDPOINTS,
  MIN_SPEED_RUNS,
  MIN_UNEVEN_ENDPOINTS,
  MIN_UNEVEN_RUNS,
} from "./constants.ts";
import { EndpointSpeed } from "./endpoint_speed.ts";
import { computeMedian } from "./median_tracker.ts";
import type { EndpointLifetime } from "./types.ts";

/** Interval between two computations of a service's summary, in milliseconds. */
const SUMMARY_INTERVAL_MS = 3_000;

/** Samples from which it is computed earlier, relative to the known endpoints. */
const SUMMARY_SHARE = 0.25;

/** Endpoints from which differences between them are measured. */
const MIN_COMPARED = 5;

/** Endpoints with the same labels whose mean is a prior for others like them. */
const MIN_GROUP = 4;

/**
 * Runs that the prior counts as: until differences between endpoints are measured,
 * and the limits after that. The upper one leaves even endpoints at the prior.
 */
const PRIOR_RUNS = 4;
const MIN_PRIOR_RUNS = 0.5;
const MAX_PRIOR_RUNS = 100;

/**
 * Share of a service's endpoints with enough runs from which it can be uneven. With
 * fewer, steps whose estimates are wrong made even endpoints look uneven in trials.
 */
const UNEVEN_SHARE = 1 / 3;

/** Ratio, relative to the limit, below which a service is even again. */
const EVEN_AGAIN = 0.85;

/** What the endpoints of a service have in common. */
interface ServiceSummary {
  computedAt: number;
  /** Median of the endpoints' means: the usual speed. */
  center: number;
  /** Prior of each group of endpoints, relative to the center. */
  groups: Map<string, number>;
  /** Number of runs that the prior counts as. */
  priorRuns: number;
  isUneven: boolean;
  /** Fastest tenth relative to the slowest tenth. */
  ratio: number;
  /** Number of endpoints, and of those whose speed counts. */
  known: number;
  measured: number;
}

/** Speeds of endpoints relative to the other endpoints of their service. */
export class SpeedTable {
  readonly #endpoints = new Map<string, EndpointSpeed>();
  readonly #summaries = new Map<string, ServiceSummary>();
  /** Number of samples since the summary of a service was computed. */
  readonly #newSamples = new Map<string, number>();
  readonly #unevenRatio: number;

  constructor({ unevenRatio }: { unevenRatio: number }) {
    this.#unevenRatio = unevenRatio;
  }

  /** Returns the speed of an endpoint's lifetime; a new lifetime has the prior. */
  open(lifetime: EndpointLifetime): EndpointSpeed {
    const { id, service, bornAt } = lifetime;
    const known = this.#endpoints.get(id);
    const isKnown = known?.bornAt === bornAt && known.service === service;
    if (known && isKnown) return known;
    const endpoint = new EndpointSpeed(lifetime);
    // Deleted first, so that the map's order is that of the lifetimes.
    this.#endpoints.delete(id);
    this.#endpoints.set(id, endpoint);
    if (this.#endpoints.size > MAX_ENDPOINTS) {
      const [oldest] = this.#endpoints.keys();
      this.#endpoints.delete(oldest);
    }
    return endpoint;
  }

  /** Adds the logarithm of the speed that a run has shown. */
  addSample(endpoint: EndpointSpeed, sample: number): void {
    endpoint.addSample(sample);
    const { service } = endpoint;
    this.#newSamples.set(service, (this.#newSamples.get(service) ?? 0) + 1);
  }

  /** Returns the present speed of an endpoint, slowdowns included. */
  getSpeed(id: string, now: number): number {
    const endpoint = this.#endpoints.get(id);
    if (!endpoint) return 1;
    return Math.exp(this.getLastingSpeed(endpoint, now)) *
      endpoint.getSlowdown(now);
  }

  /** Returns the logarithm of an endpoint's speed without slowdowns. */
  getLastingSpeed(endpoint: EndpointSpeed, now: number): number {
    return computeSpeed(endpoint, this.#summarize(endpoint.service, now));
  }

  /** Returns the logarithm of the slowest of these endpoints' lasting speeds. */
  getSlowest(ids: readonly string[], now: number): number {
    let slowest = Number.POSITIVE_INFINITY;
    for (const id of ids) {
      const endpoint = this.#endpoints.get(id);
      const speed = endpoint ? this.getLastingSpeed(endpoint, now) : 0;
      slowest = Math.min(slowest, speed);
    }
    return Number.isFinite(slowest) ? slowest : 0;
  }

  /** Returns whether the fastest and the slowest tenth of a service differ much. */
  isUneven(service: string, now: number): boolean {
    return this.#summarize(service, now).isUneven;
  }

  /** Lists the endpoints. */
  list(): EndpointSpeed[] {
    return [...this.#endpoints.values()];
  }

  /** Describes the services and their endpoints for a dump. */
  describe(now: number): unknown {
    const services = [...this.#summaries.keys()].map((service) => {
      const { center, priorRuns, isUneven, ratio, measured } = this.#summarize(
        service,
        now,
      );
      return { service, center, priorRuns, isUneven, ratio, measured };
    });
    const endpoints = this.list().map((endpoint) => ({
      id: endpoint.id,
      speed: Math.round(this.getSpeed(endpoint.id, now) * 100) / 100,
      slowdown: endpoint.getSlowdown(now),
      runs: endpoint.samples.length,
    }));
    return { services, endpoints };
  }

  #summarize(service: string, now: number): ServiceSummary {
    const last = this.#summaries.get(service);
    const newSamples = this.#newSamples.get(service) ?? 0;
    const isDue = !last || (newSamples > 0 &&
      (now - last.computedAt >= SUMMARY_INTERVAL_MS ||
        newSamples >= last.known * SUMMARY_SHARE));
    if (last && !isDue) return last;
    this.#newSamples.delete(service);
    const limit = this.#unevenRatio * (last?.isUneven ? EVEN_AGAIN : 1);
    const known = this.list().filter((endpoint) =>
      endpoint.service === service
    );
    const endpoints = known.filter(({ samples }) =>
      samples.length >= MIN_SPEED_RUNS
    );
    const enough = Math.max(MIN_UNEVEN_ENDPOINTS, known.length * UNEVEN_SHARE);
    const summary = {
      ...summarizeService(endpoints, { limit, enough, now }),
      known: known.length,
    };
    this.#summaries.set(service, summary);
    return summary;
  }
}

function summarizeService(
  endpoints: readonly EndpointSpeed[],
  { limit, enough, now }: { limit: number; enough: number; now: number },
): Omit<ServiceSummary, "known"> {
  const center = endpoints.length > 0
    ? computeMedian(endpoints.map(({ mean }) => mean))
    : 0;
  const groups = computeGroups(endpoints, center);
  const summary = {
    computedAt: now,
    center,
    groups,
    priorRuns: computePriorRuns(endpoints, { center, groups }),
    isUneven: false,
    ratio: 1,
    measured: endpoints.length,
  };
  const speeds = endpoints
    .filter(({ samples }) => samples.length >= MIN_UNEVEN_RUNS)
    .map((endpoint) => computeSpeed(endpoint, summary))
    .sort((a, b) => a - b);
  if (speeds.length < enough) return summary;
  const tenth = Math.floor((speeds.length - 1) / 10);
  summary.ratio = Math.exp(
    speeds[speeds.length - 1 - tenth] - speeds[tenth],
  );
  summary.isUneven = summary.ratio >= limit;
  return summary;
}

/** Computes the logarithm of a speed: the mean, drawn towards the prior. */
function computeSpeed(
  endpoint: EndpointSpeed,
  { center, groups, priorRuns }: Pick<
    ServiceSummary,
    "center" | "groups" | "priorRuns"
  >,
): number {
  const prior = groups.get(endpoint.group) ?? 0;
  if (endpoint.samples.length < MIN_SPEED_RUNS) return prior;
  const { counted, mean } = endpoint;
  return (counted * (mean - center) + priorRuns * prior) /
    (counted + priorRuns);
}

/** Computes the mean of each group with enough endpoints, relative to the center. */
function computeGroups(
  endpoints: readonly EndpointSpeed[],
  center: number,
): Map<string, number> {
  const sums = new Map<string, { sum: number; count: number }>();
  for (const { group, mean } of endpoints) {
    const total = sums.get(group) ?? { sum: 0, count: 0 };
    total.sum += mean - center;
    total.count++;
    sums.set(group, total);
  }
  const groups = new Map<string, number>();
  for (const [group, { sum, count }] of sums) {
    // All endpoints in one group: the usual speed is their median, not their mean.
    if (count < MIN_GROUP || sums.size === 1) continue;
    groups.set(group, sum / (count + MIN_GROUP));
  }
  return groups;
}

/**
 * Computes the number of runs that the prior counts as: the variance of the runs of
 * one endpoint, relative to the variance between endpoints beyond that.
 */
function computePriorRuns(
  endpoints: readonly EndpointSpeed[],
  { center, groups }: Pick<ServiceSummary, "center" | "groups">,
): number {
  if (endpoints.length < MIN_COMPARED) return PRIOR_RUNS;
  let squares = 0;
  let degrees = 0;
  let between = 0;
  let inverseRuns = 0;
  for (const endpoint of endpoints) {
    squares += endpoint.squares;
    degrees += endpoint.counted - 1;
    between += (endpoint.mean - center - (groups.get(endpoint.group) ?? 0)) **
      2;
    inverseRuns += 1 / endpoint.counted;
  }
  const within = squares / Math.max(1, degrees);
  const beyond = (between - within * inverseRuns) / endpoints.length;
  if (beyond <= within / MAX_PRIOR_RUNS) return MAX_PRIOR_RUNS;
  return Math.max(MIN_PRIOR_RUNS, within / beyond);
}
