import {
  ADVICE_ROOM_FACTOR,
  MAX_ENDPOINTS_ASKED,
  USUAL_ENDPOINTS_ASKED,
} from "./constants.ts";
import { countFittingTasks } from "./placement.ts";
import { measureFreeCores, type PlacementPass } from "./placement_pass.ts";
import { findAdviceRanks } from "./speed_choice.ts";
import { getStep } from "./stages.ts";
import type { CellState } from "./state.ts";
import type { Endpoint, Stage } from "./types.ts";

/**
 * Counts before the first answer of a queue: a quarter is taken to be allowed,
 * so that the first call of a wide step rather names too many than too few.
 */
const INITIAL_COUNTS: AdviceCounts = { named: 20, allowed: 5 };

/** Count of named endpoints from which older answers lose weight. */
const MAX_NAMED_COUNT = 2_000;

/** Lowest share that is assumed, so that no call names too many endpoints. */
const MIN_ALLOWED_SHARE = 0.1;

/** Endpoints that answered calls of a queue named, and how many got a ticket. */
export interface AdviceCounts {
  named: number;
  allowed: number;
}

/** An endpoint that may be named, with the tasks of the stage that fit on it. */
interface AdviceCandidate {
  endpoint: Endpoint;
  slots: number;
}

/**
 * Selects the endpoints that the advice calls of a stage name, those with room
 * first. Answers the load of a busy cell of hundreds of endpoints: most have no
 * room, each named one makes the call longer, and many stages ask at the same
 * time, which must not compete for the same few endpoints.
 */
export function selectEndpointsToAsk(
  pass: PlacementPass,
  stage: Stage,
  options: { endpoints: readonly Endpoint[]; accepting: ReadonlySet<Endpoint> },
): Endpoint[] {
  const { endpoints, accepting } = options;
  const candidates: AdviceCandidate[] = [];
  const full: Endpoint[] = [];
  for (const endpoint of endpoints) {
    const slots = accepting.has(endpoint)
      ? countFittingTasks(pass, endpoint, stage)
      : 0;
    if (slots > 0) candidates.push({ endpoint, slots });
    else if (accepting.has(endpoint)) full.push(endpoint);
  }
  const getRank = findAdviceRanks(pass, stage);
  const withRoom = sortCandidates(
    stage,
    listFromCursor(candidates, pass.state.adviceCursor++),
    getRank,
  );
  const selected = selectEnoughRoom(pass.state, stage, withRoom);
  const missing = USUAL_ENDPOINTS_ASKED - selected.length;
  if (missing <= 0 || selected.length < withRoom.length) return selected;
  full.sort((a, b) =>
    getRank(a) - getRank(b) || measureFreeCores(b) - measureFreeCores(a)
  );
  return [...selected, ...full.slice(0, missing)];
}

/**
 * Selects endpoints for new tickets of a stage, from those whose tickets have
 * expired or are missing: enough for its waiting tasks.
 */
export function selectForTickets(
  stage: Stage,
  slots: ReadonlyMap<Endpoint, number>,
): Endpoint[] {
  const wanted = stage.waitingTasks * ADVICE_ROOM_FACTOR;
  const selected: Endpoint[] = [];
  let room = 0;
  for (const [endpoint, count] of slots) {
    if (room >= wanted && selected.length >= USUAL_ENDPOINTS_ASKED) break;
    selected.push(endpoint);
    room += count;
  }
  return selected;
}

/**
 * Adds an answer to the counts from which the share of endpoints that the
 * policy service allows for a queue is estimated.
 */
export function noteAdviceCounts(
  state: CellState,
  queue: string,
  answer: AdviceCounts,
): void {
  const counts = state.adviceCounts.get(queue) ?? INITIAL_COUNTS;
  const weight = counts.named > MAX_NAMED_COUNT ? 0.5 : 1;
  state.adviceCounts.set(queue, {
    named: counts.named * weight + answer.named,
    allowed: counts.allowed * weight + answer.allowed,
  });
}

/** Estimates the share of the endpoints that advice allows for a queue. */
export function estimateAllowedShare(state: CellState, queue: string): number {
  const { named, allowed } = state.adviceCounts.get(queue) ?? INITIAL_COUNTS;
  return Math.max(MIN_ALLOWED_SHARE, allowed / named);
}

/**
 * Sorts the candidates: those in the rack of the data first; for a gang that has
 * to fit into one rack, those of the racks with most room; then by the rank of their
 * speed; for any gang, those with much room, as it starts sooner on few endpoints.
 */
function sortCandidates(
  stage: Stage,
  candidates: readonly AdviceCandidate[],
  getRank: (endpoint: Endpoint) => number,
): AdviceCandidate[] {
  const { gang, preferredRack, rackLocal } = getStep(stage);
  const slotsByRack = new Map<string, number>();
  for (const { endpoint: { info }, slots } of candidates) {
    slotsByRack.set(info.rack, (slotsByRack.get(info.rack) ?? 0) + slots);
  }
  const score = ({ endpoint, slots }: AdviceCandidate) => ({
    isNear: preferredRack !== "" && endpoint.info.rack === preferredRack
      ? 1
      : 0,
    rackSlots: rackLocal ? slotsByRack.get(endpoint.info.rack) ?? 0 : 0,
    speedRank: getRank(endpoint),
    slots: gang ? slots : 0,
  });
  return candidates
    .map((candidate) => ({ candidate, rank: score(candidate) }))
    .sort(({ rank: a }, { rank: b }) =>
      b.isNear - a.isNear || b.rackSlots - a.rackSlots ||
      a.speedRank - b.speedRank || b.slots - a.slots
    )
    .map(({ candidate }) => candidate);
}

/** Selects endpoints until the allowed ones among them should have room. */
function selectEnoughRoom(
  state: CellState,
  stage: Stage,
  candidates: readonly AdviceCandidate[],
): Endpoint[] {
  const share = estimateAllowedShare(state, stage.job.spec.queue.name);
  const wantedRoom = stage.waitingTasks * ADVICE_ROOM_FACTOR;
  const selected: Endpoint[] = [];
  let expectedRoom = 0;
  for (const { endpoint, slots } of candidates) {
    const isEnough = expectedRoom >= wantedRoom &&
      selected.length >= USUAL_ENDPOINTS_ASKED;
    if (isEnough || selected.length >= MAX_ENDPOINTS_ASKED) break;
    selected.push(endpoint);
    expectedRoom += Math.min(slots, stage.waitingTasks) * share;
  }
  return selected;
}

/**
 * Lists all items, beginning at another one for each value of the cursor, so that
 * stages that ask at the same time begin at different endpoints.
 */
function listFromCursor<T>(items: readonly T[], cursor: number): T[] {
  if (items.length === 0) return [];
  const start = cursor * USUAL_ENDPOINTS_ASKED % items.length;
  return [...items.slice(start), ...items.slice(0, start)];
}
