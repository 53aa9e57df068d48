import type {
  Configuration,
  KeyConfig,
  QueueConfig,
  TeamConfig,
} from "./types.ts";

/**
 * Combines the accepted and a staged configuration. Changes that restrict take
 * effect as soon as they are staged, changes that grant only when accepted.
 */
export function restrictConfiguration(
  accepted: Configuration,
  staged: Configuration,
): Configuration {
  return {
    teams: combineRecords(accepted.teams, staged.teams, restrictTeam),
    keys: combineRecords(accepted.keys, staged.keys, restrictKey),
    queues: combineRecords(accepted.queues, staged.queues, restrictQueue),
  };
}

/**
 * Restricts the items that are both accepted and staged. Drops the others: an
 * item that is only staged is a grant, one that is only accepted was removed.
 */
function combineRecords<T>(
  accepted: Record<string, T>,
  staged: Record<string, T>,
  restrict: (accepted: T, staged: T) => T | undefined,
): Record<string, T> {
  const combined: Record<string, T> = {};
  for (const [name, value] of Object.entries(accepted)) {
    if (!(name in staged)) continue;
    const restricted = restrict(value, staged[name]);
    if (restricted !== undefined) combined[name] = restricted;
  }
  return combined;
}

function restrictTeam(accepted: TeamConfig, staged: TeamConfig): TeamConfig {
  return {
    share: accepted.share,
    limit: Math.min(accepted.limit, staged.limit),
  };
}

function restrictKey(
  accepted: KeyConfig,
  staged: KeyConfig,
): KeyConfig | undefined {
  const isUnchanged = accepted.hash === staged.hash &&
    accepted.team === staged.team;
  return isUnchanged ? accepted : undefined;
}

function restrictQueue(
  accepted: QueueConfig,
  staged: QueueConfig,
): QueueConfig {
  return {
    ...accepted,
    teams: accepted.teams.filter((team) => staged.teams.includes(team)),
    open: accepted.open && staged.open &&
      accepted.open_team === staged.open_team,
    kinds: accepted.kinds.filter((kind) => staged.kinds.includes(kind)),
    max_queued: Math.min(accepted.max_queued, staged.max_queued),
    max_body_bytes: Math.min(accepted.max_body_bytes, staged.max_body_bytes),
  };
}
