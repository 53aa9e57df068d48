import type { PlacementPass } from "./placement_pass.ts";
import { addDecision } from "./state.ts";
import { DecisionKind, type Stage } from "./types.ts";

/**
 * Returns whether a stage that fits on slow endpoints may wait for faster ones, and
 * notes since when it waits. The wait is bounded by what a faster endpoint can gain:
 * with a wrong model, or if others take the room, the stage takes at most twice as long
 * as it would have at once.
 */
export function mayGoOnWaiting(
  pass: PlacementPass,
  stage: Stage,
  { hereMs, fasterMs }: { hereMs: number; fasterMs: number },
): boolean {
  const { state, now } = pass;
  const { waitingSince } = state.placement;
  const since = waitingSince.get(stage);
  if (since !== undefined) return now - since < hereMs - fasterMs;
  waitingSince.set(stage, now);
  addDecision(state, {
    kind: DecisionKind.StartPostponed,
    subject: stage.name,
    inputs: {
      hereMs: Math.round(hereMs),
      fasterMs: Math.round(fasterMs),
      dueInMs: Math.round(stage.dueAt - now),
    },
  });
  return true;
}
