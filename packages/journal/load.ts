import { FormatError } from "../base/mod.ts";
import {
  type KeyValueStore,
  listAll,
  type ListAllOptions,
  requireJson,
  requireText,
  type StoredItem,
} from "../storage/mod.ts";
import { LOG_PREFIX, MAX_SEGMENT_STEP, SNAPSHOT_PREFIX } from "./constants.ts";
import type { JournalContents, JournalRecord } from "./types.ts";

const SEGMENT_DIGITS = 12;

/** Formats the key of a segment; keys sort by segment number. */
export function formatSegmentKey(segment: number): string {
  return `${LOG_PREFIX}${String(segment).padStart(SEGMENT_DIGITS, "0")}`;
}

/**
 * Formats the key of one part of a snapshot. `segment`: the last segment that
 * the snapshot covers; `part`: index of the part; `parts`: number of parts.
 */
export function formatSnapshotKey(
  location: { segment: number; part: number; parts: number },
): string {
  const { segment, part, parts } = location;
  const digits = String(segment).padStart(SEGMENT_DIGITS, "0");
  return `${SNAPSHOT_PREFIX}${digits}/${part}-${parts}`;
}

/**
 * Reads the newest complete snapshot and all segments after it.
 *
 * @throws the error of a page that is not read again
 * @throws {FormatError} when an item cannot be read or segments are missing; names a key
 */
export async function readJournal<Snapshot>(
  store: KeyValueStore,
  options: ListAllOptions,
): Promise<JournalContents<Snapshot>> {
  // Segments are read before snapshots: a segment is deleted only after its
  // snapshot is complete, so a snapshot read later covers any segment that was
  // deleted in the meantime.
  const { items: segments } = await listAll(store, LOG_PREFIX, options);
  const { items: parts } = await listAll(store, SNAPSHOT_PREFIX, options);
  const snapshot = findCompleteSnapshot(parts);
  const obsolete = parts.map(({ key }) => key)
    .filter((key) => !snapshot?.keys.includes(key));
  const records: JournalRecord[] = [];
  let lastSegment = snapshot?.segment ?? 0;
  for (const item of segments) {
    const segmentNumber = Number(item.key.slice(LOG_PREFIX.length));
    if (segmentNumber <= (snapshot?.segment ?? 0)) {
      obsolete.push(item.key);
      continue;
    }
    requireStep(lastSegment, item.key);
    records.push(...decodeSegment(item));
    lastSegment = segmentNumber;
  }
  return {
    snapshot: snapshot && decodeSnapshot<Snapshot>(snapshot),
    records,
    lastSegment,
    snapshotSegment: snapshot?.segment ?? 0,
    obsolete,
  };
}

/**
 * Requires that no segment before one with this key is missing, apart from those of
 * which no record was acknowledged.
 */
function requireStep(lastSegment: number, key: string): void {
  const segmentNumber = Number(key.slice(LOG_PREFIX.length));
  if (segmentNumber - lastSegment <= MAX_SEGMENT_STEP) return;
  const first = formatSegmentKey(lastSegment + 1);
  throw new FormatError(`Cannot read ${first}: missing, but ${key} is stored`);
}

function decodeSegment(item: StoredItem): JournalRecord[] {
  const records = requireJson<JournalRecord[]>(item);
  if (Array.isArray(records)) return records;
  throw new FormatError(`Cannot read ${item.key}: not a list of records`);
}

function decodeSnapshot<Snapshot>(
  { parts }: { parts: StoredItem[] },
): Snapshot {
  const text = parts.map(requireText).join("");
  try {
    return JSON.parse(text) as Snapshot;
  } catch (cause) {
    throw new FormatError(`Cannot read ${parts[0].key}: not JSON`, { cause });
  }
}

function findCompleteSnapshot(
  items: StoredItem[],
): { segment: number; parts: StoredItem[]; keys: string[] } | undefined {
  const bySegment = new Map<string, StoredItem[]>();
  for (const item of items) {
    const [segment] = item.key.slice(SNAPSHOT_PREFIX.length).split("/");
    bySegment.set(segment, [...bySegment.get(segment) ?? [], item]);
  }
  const newestFirst = [...bySegment].sort(([a], [b]) => a < b ? 1 : -1);
  for (const [segment, parts] of newestFirst) {
    const partCount = Number(parts[0].key.split("-").at(-1));
    if (Number.isNaN(partCount)) {
      throw new FormatError(`Cannot parse the snapshot key ${parts[0].key}`);
    }
    if (parts.length !== partCount) continue;
    parts.sort((a, b) => parsePartIndex(a.key) - parsePartIndex(b.key));
    return {
      segment: Number(segment),
      parts,
      keys: parts.map(({ key }) => key),
    };
  }
  return undefined;
}

function parsePartIndex(key: string): number {
  return Number(key.split("/").at(-1)?.split("-")[0]);
}
