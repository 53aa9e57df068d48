import { computeHash, FormatError, splitText } from "../base/mod.ts";
import { requireText, type StoredItem } from "../storage/mod.ts";
import { SNAPSHOT_PREFIX } from "./constants.ts";
import { formatSegmentNumber } from "./keys.ts";

/** Index, digest of the whole text (not in earlier versions) and number of parts. */
const PART_NAME = /^(\d+)\/(\d+)-(?:([\da-f]{64})-)?(\d+)$/;

/** What the key of a part says. */
interface PartKey {
  /** Number of the last segment that the snapshot covers. */
  segment: number;
  /** Index of the part. */
  part: number;
  /** SHA-256 of the snapshot's text in hexadecimal; earlier versions: none. */
  digest: string | undefined;
  /** Number of parts of the snapshot. */
  partCount: number;
}

/** One part of a snapshot, to be written to the store. */
export interface SnapshotPart {
  key: string;
  value: string;
}

/** All parts of one snapshot, as the store returned them. */
export interface StoredSnapshot {
  /** Number of the last segment that the snapshot covers. */
  segment: number;
  /** SHA-256 of the text in hexadecimal; `undefined`: an earlier version wrote it. */
  digest: string | undefined;
  /** The parts, in their order. */
  parts: StoredItem[];
}

/**
 * Splits a snapshot into parts of at most `maxBytes` bytes. The digest stands in the
 * keys, between the index and the number of parts, where earlier versions skip it.
 */
export function splitSnapshot(
  { segment, text }: { segment: number; text: string },
  maxBytes: number,
): SnapshotPart[] {
  const digest = computeHash(text);
  const values = splitText(text, maxBytes);
  const prefix = `${SNAPSHOT_PREFIX}${formatSegmentNumber(segment)}`;
  return values.map((value, part) => ({
    key: `${prefix}/${part}-${digest}-${values.length}`,
    value,
  }));
}

/**
 * Finds the snapshots of which every part is stored, the newest first.
 *
 * @throws {FormatError} when a key is not one of a part
 */
export function findSnapshots(items: StoredItem[]): StoredSnapshot[] {
  const byName = new Map<string, StoredSnapshot & { partCount: number }>();
  for (const item of items) {
    const { segment, digest, partCount } = parsePartKey(item.key);
    const name = `${segment} ${digest} ${partCount}`;
    const snapshot = byName.get(name) ??
      { segment, digest, partCount, parts: [] };
    snapshot.parts.push(item);
    byName.set(name, snapshot);
  }
  const complete = [...byName.values()]
    .filter(({ parts, partCount }) => parts.length === partCount);
  for (const { parts } of complete) {
    parts.sort((a, b) => parsePartKey(a.key).part - parsePartKey(b.key).part);
  }
  return complete.sort((a, b) => b.segment - a.segment);
}

/**
 * Joins the parts of a snapshot and parses its text.
 *
 * @throws {FormatError} when the text is not the one that was written; names the key
 */
export function decodeSnapshot<Snapshot>(
  { parts, digest }: StoredSnapshot,
): Snapshot {
  const text = parts.map(requireText).join("");
  const keys = `${parts[0].key} to ${parts.length - 1}`;
  if (digest !== undefined && computeHash(text) !== digest) {
    throw new FormatError(`Cannot read ${keys}: the digest does not match`);
  }
  try {
    return JSON.parse(text) as Snapshot;
  } catch (cause) {
    throw new FormatError(`Cannot read ${keys}: not JSON`, { cause });
  }
}

/**
 * Parses the key of one part of a snapshot.
 *
 * @throws {FormatError} when it has another form
 */
export function parsePartKey(key: string): PartKey {
  const match = PART_NAME.exec(key.slice(SNAPSHOT_PREFIX.length));
  if (!match) throw new FormatError(`Cannot parse the snapshot key ${key}`);
  const [, segment, part, digest, partCount] = match;
  return {
    segment: Number(segment),
    part: Number(part),
    digest,
    partCount: Number(partCount),
  };
}
