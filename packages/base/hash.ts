import { createHash } from "node:crypto";

/** Returns the SHA-256 digest of a string in lowercase hexadecimal. */
export function computeHash(text: string): string {
  return createHash("sha256").update(text).digest("hex");
}

/**
 * Maps a string to a bucket from 0 to `bucketCount - 1`; every entry computes
 * the same bucket.
 */
export function computeBucket(text: string, bucketCount: number): number {
  return createHash("sha256").update(text).digest().readUInt32BE(0) %
    bucketCount;
}

/**
 * Picks one of `candidates` for a key by rendezvous hashing. Every entry picks
 * the same candidate; adding or removing a candidate remaps only its own keys.
 * Returns undefined for an empty list.
 */
export function pickByRendezvous(
  key: string,
  candidates: readonly string[],
): string | undefined {
  let bestCandidate: string | undefined;
  let bestScore = "";
  for (const candidate of candidates) {
    const score = computeHash(`${candidate}\n${key}`);
    if (score <= bestScore) continue;
    bestCandidate = candidate;
    bestScore = score;
  }
  return bestCandidate;
}
