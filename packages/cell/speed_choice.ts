import { predictRunMs } from "./placement_memory.ts";
import type { PlacementPass } from "./placement_pass.ts";
import { EndpointChoice } from "./policies.ts";
import {
  canMeetDeadline,
  computeTierRanks,
  findSpeedTiers,
  getTier,
  MEDIAN,
  type SpeedTiers,
} from "./speed_tiers.ts";
import { mayGoOnWaiting } from "./speed_wait.ts";
import type { Endpoint, Stage } from "./types.ts";

/** An endpoint that may run members of a gang, and how many. */
export interface GangSlots {
  endpoint: Endpoint;
  slots: number;
  isTicketed: boolean;
}

/**
 * Finds the choice among the endpoints that a stage fits on: that of the settings, and
 * by speed first in an uneven service.
 */
export function findEndpointChoice(
  pass: PlacementPass,
  stage: Stage,
): EndpointChoice {
  const { choice } = pass.state.policies;
  const tiers = findSpeedTiers(pass, stage.job.spec.queue.service);
  if (!tiers) return choice;
  return new SpeedChoice({
    tiers,
    ranks: computeTierRanks(pass, stage, tiers),
    amongEquals: choice,
  });
}

class SpeedChoice extends EndpointChoice {
  readonly #parts: {
    tiers: SpeedTiers;
    ranks: readonly number[];
    amongEquals: EndpointChoice;
  };

  constructor(
    parts: {
      tiers: SpeedTiers;
      ranks: readonly number[];
      amongEquals: EndpointChoice;
    },
  ) {
    super();
    this.#parts = parts;
  }

  override chooseEndpoint(endpoints: readonly Endpoint[]): Endpoint {
    const { tiers, ranks, amongEquals } = this.#parts;
    let bestRank = Number.POSITIVE_INFINITY;
    let best: Endpoint[] = [];
    for (const endpoint of endpoints) {
      const rank = ranks[getTier(tiers, endpoint)];
      if (rank > bestRank) continue;
      if (rank < bestRank) best = [];
      bestRank = rank;
      best.push(endpoint);
    }
    return amongEquals.chooseEndpoint(best);
  }
}

/**
 * Finds the rank of an endpoint for the advice calls of a stage; the lowest is named
 * first. All are equal in an even service.
 */
export function findAdviceRanks(
  pass: PlacementPass,
  stage: Stage,
): (endpoint: Endpoint) => number {
  const tiers = findSpeedTiers(pass, stage.job.spec.queue.service);
  if (!tiers) return () => 0;
  const ranks = computeTierRanks(pass, stage, tiers);
  return (endpoint) => ranks[getTier(tiers, endpoint)];
}

/**
 * Sorts the endpoints that a gang is placed on: those with a ticket first, then those
 * with many slots. In an uneven service, only the fastest that hold the whole gang are
 * left, and the slowest of these come first: the gang runs at the speed of its slowest
 * member, so a faster endpoint would gain nothing.
 */
export function sortGangSlots(
  pass: PlacementPass,
  stage: Stage,
  slotCounts: GangSlots[],
): GangSlots[] {
  const tiers = findSpeedTiers(pass, stage.job.spec.queue.service);
  const lastTier = tiers && findGangTier(pass, stage, { tiers, slotCounts });
  const getTierOf = ({ endpoint }: GangSlots) =>
    tiers ? getTier(tiers, endpoint) : 0;
  const candidates = lastTier === undefined
    ? slotCounts
    : slotCounts.filter((slots) => getTierOf(slots) <= lastTier);
  return candidates.sort((a, b) =>
    Number(b.isTicketed) - Number(a.isTicketed) ||
    getTierOf(b) - getTierOf(a) || b.slots - a.slots
  );
}

/**
 * Finds the slowest tier that a gang uses; `undefined` if the gang fits nowhere. With
 * tickets only for slower endpoints, it starts there, unless it would be late and new
 * tickets for faster ones are predicted to make it finish sooner.
 */
function findGangTier(
  pass: PlacementPass,
  stage: Stage,
  { tiers, slotCounts }: { tiers: SpeedTiers; slotCounts: GangSlots[] },
): number | undefined {
  const wanted = stage.tasks.length;
  const anyTier = findHoldingTier(slotCounts, { tiers, wanted });
  const ticketed = slotCounts.filter(({ isTicketed }) => isTicketed);
  const ticketedTier = findHoldingTier(ticketed, { tiers, wanted });
  const { advice } = stage.job.spec.queue;
  if (anyTier === undefined || ticketedTier === undefined || !advice) {
    return anyTier;
  }
  if (ticketedTier === anyTier) return anyTier;
  const { now } = pass;
  const runMs = predictRunMs(pass.state, stage, { quantile: MEDIAN, now });
  const hereMs = runMs / tiers.speeds[ticketedTier];
  if (canMeetDeadline(stage, { runMs: hereMs, now })) return ticketedTier;
  const adviceMs = advice.decideMs + advice.perEndpointMs * wanted;
  const fasterMs = runMs / tiers.speeds[anyTier];
  const waits = adviceMs + fasterMs < hereMs &&
    mayGoOnWaiting(pass, stage, { hereMs, fasterMs });
  return waits ? anyTier : ticketedTier;
}

/** Finds the first tier up to which, from the fastest on, enough slots are free. */
function findHoldingTier(
  slotCounts: readonly GangSlots[],
  { tiers, wanted }: { tiers: SpeedTiers; wanted: number },
): number | undefined {
  const slotsByTier = tiers.speeds.map(() => 0);
  for (const { endpoint, slots } of slotCounts) {
    slotsByTier[getTier(tiers, endpoint)] += slots;
  }
  let slots = 0;
  const tier = slotsByTier.findIndex((count) => (slots += count) >= wanted);
  return tier < 0 ? undefined : tier;
}
