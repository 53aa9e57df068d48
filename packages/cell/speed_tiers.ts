import { predictRunMs } from "./placement_memory.ts";
import type { PlacementPass } from "./placement_pass.ts";
import { ChoiceName } from "./policies.ts";
import type { Endpoint, Stage } from "./types.ts";
import { hasUrgentNeed } from "./urgency.ts";

/**
 * Ratio of speeds within one tier: small enough to tell speeds of 1 and 1.3 apart, and
 * large enough that estimates of equal endpoints mostly fall into one tier.
 */
const TIER_RATIO = 1.25;

/** Bounds of a speed that placement reads, as a model may be wrong. */
const MIN_SPEED = 0.05;
const MAX_SPEED = 20;

/**
 * Time from a plan to the end that a listing shows, in ms, apart from the run: covers
 * the commit of the placement (20 ms), the order, and the polls (100 ms).
 */
export const START_DELAY_MS = 150;

/** Share of comparable runs that must meet the deadline on the chosen endpoints. */
const SAFE_QUANTILE = 0.9;

/** Quantile of the usual run time. */
export const MEDIAN = 0.5;

/** The endpoints of an uneven service, grouped by speed. */
export interface SpeedTiers {
  /** Tier of each listed endpoint; 0 is the fastest. */
  tiers: Map<Endpoint, number>;
  /** Lowest speed of each tier, the fastest first. */
  speeds: number[];
}

/**
 * Groups the endpoints of a service by speed. Load: endpoints of a service differ by a
 * factor of 2 or more, so that urgent work on a slow one is always late. Returns
 * `undefined` while all count as equal.
 */
export function findSpeedTiers(
  pass: PlacementPass,
  service: string,
): SpeedTiers | undefined {
  const { state, now, speedTiers } = pass;
  if (state.policies.names.choice !== ChoiceName.Speed) return undefined;
  if (speedTiers.has(service)) return speedTiers.get(service);
  const listed = pass.services.get(service)?.listed ?? [];
  const tiers = state.runTimes.isUneven(service, now)
    ? buildSpeedTiers(pass, listed)
    : undefined;
  speedTiers.set(service, tiers);
  return tiers;
}

function buildSpeedTiers(
  { state, now }: PlacementPass,
  endpoints: readonly Endpoint[],
): SpeedTiers {
  const levels = new Map<Endpoint, number>();
  const lowest = new Map<number, number>();
  for (const endpoint of endpoints) {
    const speed = readSpeed(state.runTimes.getSpeed(endpoint.info.id, now));
    const level = Math.round(Math.log(speed) / Math.log(TIER_RATIO));
    levels.set(endpoint, level);
    lowest.set(level, Math.min(speed, lowest.get(level) ?? speed));
  }
  const fastestFirst = [...lowest].sort(([a], [b]) => b - a);
  const index = new Map(fastestFirst.map(([level], tier) => [level, tier]));
  return {
    tiers: new Map(
      [...levels].map(([endpoint, level]) => [endpoint, index.get(level) ?? 0]),
    ),
    speeds: fastestFirst.map(([, speed]) => speed),
  };
}

function readSpeed(speed: number): number {
  return Number.isFinite(speed)
    ? Math.min(MAX_SPEED, Math.max(MIN_SPEED, speed))
    : 1;
}

/** Returns the tier of an endpoint; an unknown one counts as the slowest. */
export function getTier(
  { tiers, speeds }: SpeedTiers,
  endpoint: Endpoint,
): number {
  return tiers.get(endpoint) ?? speeds.length - 1;
}

/**
 * Ranks the tiers for a stage, the best one 0: for urgent work and gangs, the fastest
 * first. For other work, the slowest that still meets its deadline, then faster ones,
 * then those that miss it, the fastest first. Work that meets its deadline nowhere is
 * to finish before its result has lost its value.
 */
export function computeTierRanks(
  pass: PlacementPass,
  stage: Stage,
  { speeds }: SpeedTiers,
): number[] {
  if (hasUrgentNeed(stage)) return speeds.map((_, tier) => tier);
  const runMs = predictRunMs(pass.state, stage, {
    quantile: SAFE_QUANTILE,
    now: pass.now,
  });
  const followingMs = computeFollowingMs(stage);
  const countMeeting = (deadline: number) => {
    const leftMs = deadline - pass.now - START_DELAY_MS - followingMs;
    return speeds.filter((speed) => runMs / speed <= leftMs).length;
  };
  const meeting = countMeeting(stage.dueAt) || countMeeting(stage.expiresAt);
  // The result of work that is too late everywhere has no value: it goes to the slowest.
  const usable = meeting || speeds.length;
  return speeds.map((_, tier) => tier < usable ? usable - 1 - tier : tier);
}

/** Returns whether a stage meets its deadline with a run of this duration. */
export function canMeetDeadline(
  stage: Stage,
  { runMs, now }: { runMs: number; now: number },
): boolean {
  return now + START_DELAY_MS + runMs + computeFollowingMs(stage) <=
    stage.dueAt;
}

/** Computes the estimated time of the longest chain of steps after a stage's, in ms. */
export function computeFollowingMs(stage: Stage): number {
  const { steps } = stage.job.spec;
  if (stage.step === steps.length - 1) return 0;
  const chainMs = new Map([[stage.step, 0]]);
  let longestMs = 0;
  for (const [index, { after, estimateMs }] of steps.entries()) {
    const before = after.flatMap((step) => chainMs.get(step) ?? []);
    if (index <= stage.step || before.length === 0) continue;
    const ms = Math.max(...before) + estimateMs;
    chainMs.set(index, ms);
    longestMs = Math.max(longestMs, ms);
  }
  return longestMs;
}

/** Describes the speed of an endpoint for the log, if placement regards speeds. */
export function describeSpeed(
  pass: PlacementPass,
  endpoint: Endpoint,
): { speed?: number; tier?: number } {
  const tiers = findSpeedTiers(pass, endpoint.info.service);
  if (!tiers) return {};
  const tier = getTier(tiers, endpoint);
  return { speed: tiers.speeds[tier], tier };
}
