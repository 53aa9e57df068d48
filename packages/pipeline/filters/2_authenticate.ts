import { Cause, makeNotRunOutcome, type Outcome } from "../../base/mod.ts";
import { findTeamOfKey } from "../../config/mod.ts";
import { Filter } from "../filter.ts";
import type { RequestContext } from "../types.ts";

/**
 * Identifies the team by its key and checks that it may use the queue. An open
 * queue requires no key.
 */
export class AuthenticateFilter extends Filter {
  override readonly name = "authenticate";

  override apply(context: RequestContext): Outcome | undefined {
    const queue = context.queue!;
    if (queue.open) {
      context.team = queue.open_team;
      return undefined;
    }
    const team = findTeam(context);
    if (!team) {
      const detail = "a valid key is required: `Authorization: Bearer KEY`";
      return makeNotRunOutcome(Cause.Unauthenticated, detail);
    }
    if (!queue.teams.includes(team)) {
      const detail = `team \`${team}\` may not use this queue`;
      return makeNotRunOutcome(Cause.Forbidden, detail);
    }
    context.team = team;
    return undefined;
  }
}

function findTeam(context: RequestContext): string | undefined {
  const [scheme, key] = context.raw.authorization.split(" ");
  if (scheme !== "Bearer" || !key) return undefined;
  return findTeamOfKey(context.configuration, key);
}
