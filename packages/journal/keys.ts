import { LOG_PREFIX } from "./constants.ts";

const SEGMENT_DIGITS = 12;

/** Formats the number of a segment for a key; keys sort by it. */
export function formatSegmentNumber(segment: number): string {
  return String(segment).padStart(SEGMENT_DIGITS, "0");
}

/** Formats the key of a segment. */
export function formatSegmentKey(segment: number): string {
  return `${LOG_PREFIX}${formatSegmentNumber(segment)}`;
}
