import { readFileSync } from "node:fs";
import { DESCRIPTOR_FRACTION } from "./constants.ts";

/** Limits of this process, as Linux shows them. */
const LIMITS_FILE = "/proc/self/limits";

const OPEN_FILES = /^Max open files\s+(\d+)/m;

/**
 * Reads how many descriptors this process may open; `Infinity` where the system does
 * not tell.
 */
export function readDescriptorLimit(): number {
  try {
    const [, limit] = OPEN_FILES.exec(readFileSync(LIMITS_FILE, "utf8")) ?? [];
    return limit === undefined ? Number.POSITIVE_INFINITY : Number(limit);
  } catch {
    // Systems without this file set their limits elsewhere.
    return Number.POSITIVE_INFINITY;
  }
}

/** Restricts a number of connections to what the process can open besides. */
export function restrictConnections(
  connections: number,
  descriptorLimit: number,
): number {
  const share = Math.floor(descriptorLimit * DESCRIPTOR_FRACTION);
  return Math.max(1, Math.min(connections, share));
}
