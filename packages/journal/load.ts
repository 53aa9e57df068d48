import { FormatError } from "../base/mod.ts";
import {
  type KeyValueStore,
  listAll,
  type ListAllOptions,
  requireJson,
  type StoredItem,
} from "../storage/mod.ts";
import { LOG_PREFIX, MAX_SEGMENT_STEP, SNAPSHOT_PREFIX } from "./constants.ts";
import { formatSegmentKey } from "./keys.ts";
import {
  decodeSnapshot,
  findSnapshots,
  parsePartKey,
  type StoredSnapshot,
} from "./snapshot_parts.ts";
import type { JournalContents, JournalRecord } from "./types.ts";

/** Items of the store that belong to the journal, sorted by key. */
interface JournalItems {
  segments: StoredItem[];
  parts: StoredItem[];
}

/**
 * Reads the newest complete snapshot and all segments after it. If the snapshot is
 * damaged, an older one is taken, provided that all segments after it are stored.
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
  let damage: FormatError | undefined;
  for (const snapshot of [...findSnapshots(parts), undefined]) {
    try {
      const contents = assembleContents<Snapshot>(snapshot, {
        segments,
        parts,
      });
      return damage ? { ...contents, damage: damage.message } : contents;
    } catch (error) {
      if (!(error instanceof FormatError)) throw error;
      damage ??= error;
    }
  }
  throw damage;
}

/** Assembles the state that begins with one of the snapshots, or with none. */
function assembleContents<Snapshot>(
  snapshot: StoredSnapshot | undefined,
  { segments, parts }: JournalItems,
): JournalContents<Snapshot> {
  const snapshotSegment = snapshot?.segment ?? 0;
  const snapshotKeys = new Set(snapshot?.parts.map(({ key }) => key));
  const obsolete = parts.map(({ key }) => key)
    .filter((key) => !snapshotKeys.has(key));
  const records: JournalRecord[] = [];
  let lastSegment = snapshotSegment;
  for (const item of segments) {
    const segmentNumber = Number(item.key.slice(LOG_PREFIX.length));
    if (segmentNumber <= snapshotSegment) {
      obsolete.push(item.key);
      continue;
    }
    requireStep(lastSegment, item.key);
    records.push(...decodeSegment(item));
    lastSegment = segmentNumber;
  }
  for (const { key } of parts) requireCovered(lastSegment, key);
  return {
    snapshot: snapshot && decodeSnapshot<Snapshot>(snapshot),
    records,
    lastSegment,
    snapshotSegment,
    obsolete,
  };
}

/**
 * Requires that what is restored covers what a snapshot with this part covers: a
 * snapshot is written after its segments, and only the next one replaces it.
 */
function requireCovered(lastSegment: number, key: string): void {
  if (parsePartKey(key).segment <= lastSegment) return;
  const first = formatSegmentKey(lastSegment + 1);
  throw new FormatError(`Cannot read ${first}: missing, but ${key} is stored`);
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
