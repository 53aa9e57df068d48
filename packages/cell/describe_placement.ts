import { ChoiceName } from "./policies.ts";
import type { CellState } from "./state.ts";
import { estimateStopMs } from "./stop_times.ts";

/**
 * Describes what placement knows, for a dump: the speeds of the endpoints of uneven
 * services, the room that is kept free for urgent work, and the preemptions in progress.
 */
export function describePlacement(
  state: CellState,
  now: number,
): Record<string, unknown> {
  const { policies, placement, runTimes } = state;
  const { choice, order, headroom, preemption } = policies.names;
  const speeds: Record<string, number> = {};
  if (choice === ChoiceName.Speed) {
    for (const { info } of state.endpoints.values()) {
      if (!runTimes.isUneven(info.service, now)) continue;
      speeds[info.id] = runTimes.getSpeed(info.id, now);
    }
  }
  return {
    policies: { choice, order, headroom, preemption },
    speeds,
    headroomMilliCores: Object.fromEntries(
      [...placement.headroom].map(([service, { milliCores }]) => [
        service,
        milliCores,
      ]),
    ),
    preemptions: placement.preemptions.map(({ stage, endpoint, at }) => ({
      stage: stage.name,
      endpoint: endpoint.info.id,
      ageMs: Math.round(now - at),
    })),
    stopMs: estimateStopMs(state),
  };
}
