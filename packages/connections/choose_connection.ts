/** What decides which connection is closed first. */
export interface ConnectionUse {
  /** A request was received in whole, and its answer is not complete. */
  isServing: boolean;
  /** A request was answered before. */
  hasBeenServed: boolean;
  /** When the connection was opened or last completed an answer, by the clock in ms. */
  activeAt: number;
  /** Bytes that count for a request that has not arrived in whole. */
  chargedBytes: number;
}

/**
 * Chooses the connection that makes room for a new one: the oldest that has never
 * completed a request, or else the one that is idle for longest. None that waits for an
 * answer is chosen.
 */
export function chooseConnectionToReplace<T extends ConnectionUse>(
  connections: Iterable<T>,
): T | undefined {
  let chosen: T | undefined;
  for (const connection of connections) {
    if (connection.isServing) continue;
    if (!chosen || comparePriority(connection, chosen) < 0) chosen = connection;
  }
  return chosen;
}

/** Chooses the connection that holds the most bytes of an incomplete request, if any. */
export function chooseLargestRequest<T extends ConnectionUse>(
  connections: Iterable<T>,
): T | undefined {
  let chosen: T | undefined;
  for (const connection of connections) {
    if (connection.chargedBytes > (chosen?.chargedBytes ?? 0)) {
      chosen = connection;
    }
  }
  return chosen;
}

function comparePriority(a: ConnectionUse, b: ConnectionUse): number {
  const rank = Number(a.hasBeenServed) - Number(b.hasBeenServed);
  return rank || a.activeAt - b.activeAt;
}
