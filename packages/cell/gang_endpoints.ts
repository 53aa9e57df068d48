import { GANG_AVOID_MS } from "./constants.ts";
import { splitByRack } from "./placement.ts";
import { GangStartsName } from "./policies.ts";
import { getStep } from "./stages.ts";
import type { CellState } from "./state.ts";
import type { Endpoint, Stage } from "./types.ts";

/**
 * Groups the usable endpoints for a gang, those to be tried first in front. Load: each
 * endpoint that does not answer or fails costs the work of the whole gang.
 */
export function splitForGang(
  state: CellState,
  stage: Stage,
  { usable, now }: { usable: Endpoint[]; now: number },
): Endpoint[][] {
  const { rackLocal } = getStep(stage);
  const avoided = new Set(stage.tasks.map((task) => task.avoidEndpoint));
  const withoutFailures = usable.filter((
    { info, failuresInRow },
  ) => !avoided.has(info.id) && failuresInRow === 0);
  if (state.policies.names.gang_starts !== GangStartsName.Repeat) {
    return rackLocal ? splitByRack(usable) : [withoutFailures, usable];
  }
  const answering = withoutFailures.filter((endpoint) =>
    hasAnsweredLately(endpoint, now)
  );
  const groups = [answering, withoutFailures, usable];
  const isDistinct = (group: Endpoint[], index: number) =>
    group.length !== groups[index - 1]?.length;
  return groups.filter(isDistinct).flatMap((group) =>
    rackLocal ? splitByRack(group) : [group]
  );
}

/** Returns whether an endpoint has answered all polls and starts of the last seconds. */
function hasAnsweredLately(
  { contact, unansweredLeaseAt }: Endpoint,
  now: number,
): boolean {
  return contact.lostAt === 0 && now - unansweredLeaseAt >= GANG_AVOID_MS;
}
