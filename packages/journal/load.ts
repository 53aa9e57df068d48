import { FormatError } from "../base/mod.ts";
import type { ItemPage, KeyValueStore, StoredItem } from "../storage/mod.ts";
import { LOG_PREFIX, SNAPSHOT_PREFIX } from "./constants.ts";
import type { JournalContents, JournalRecord } from "./types.ts";

const NUMBER_DIGITS = 12;

/** Formats the key of one segment, so that keys sort by number. */
export function formatSegmentKey(segment: number): string {
  return `${LOG_PREFIX}${String(segment).padStart(NUMBER_DIGITS, "0")}`;
}

/** Formats the key of one part of the snapshot that covers a segment. */
export function formatSnapshotKey(
  place: { segment: number; part: number; parts: number },
): string {
  const { segment, part, parts } = place;
  const number = String(segment).padStart(NUMBER_DIGITS, "0");
  return `${SNAPSHOT_PREFIX}${number}/${part}-${parts}`;
}

/** Reads the newest whole snapshot and all segments after it. */
export async function readJournal<Snapshot>(
  store: KeyValueStore,
): Promise<JournalContents<Snapshot>> {
  // The log goes first: segments are removed only after their snapshot is
  // whole, so a snapshot read later covers whatever was removed meanwhile.
  const segments = await listAll(store, LOG_PREFIX);
  const parts = await listAll(store, SNAPSHOT_PREFIX);
  const snapshot = findWholeSnapshot(parts);
  const obsolete = parts.map(({ key }) => key)
    .filter((key) => !snapshot?.keys.includes(key));
  const records: JournalRecord[] = [];
  let lastSegment = snapshot?.segment ?? 0;
  for (const { key, value } of segments) {
    const number = Number(key.slice(LOG_PREFIX.length));
    if (number <= (snapshot?.segment ?? 0)) {
      obsolete.push(key);
      continue;
    }
    records.push(...JSON.parse(value) as JournalRecord[]);
    lastSegment = number;
  }
  const contents = snapshot && JSON.parse(snapshot.text) as Snapshot;
  return {
    snapshot: contents,
    records,
    lastSegment,
    snapshotSegment: snapshot?.segment ?? 0,
    obsolete,
  };
}

async function listAll(
  store: KeyValueStore,
  prefix: string,
): Promise<StoredItem[]> {
  const items: StoredItem[] = [];
  for (;;) {
    const page: ItemPage = await store.list(prefix, items.at(-1)?.key);
    items.push(...page.items);
    if (!page.hasMore || page.items.length === 0) return items;
  }
}

function findWholeSnapshot(
  items: StoredItem[],
): { segment: number; text: string; keys: string[] } | undefined {
  const bySegment = new Map<string, StoredItem[]>();
  for (const item of items) {
    const [segment] = item.key.slice(SNAPSHOT_PREFIX.length).split("/");
    bySegment.set(segment, [...bySegment.get(segment) ?? [], item]);
  }
  const newestFirst = [...bySegment].sort(([a], [b]) => a < b ? 1 : -1);
  for (const [segment, parts] of newestFirst) {
    const expected = Number(parts[0].key.split("-").at(-1));
    if (Number.isNaN(expected)) {
      throw new FormatError(`Cannot read the key ${parts[0].key}`);
    }
    if (parts.length !== expected) continue;
    parts.sort((a, b) => readPart(a.key) - readPart(b.key));
    return {
      segment: Number(segment),
      text: parts.map(({ value }) => value).join(""),
      keys: parts.map(({ key }) => key),
    };
  }
  return undefined;
}

function readPart(key: string): number {
  return Number(key.split("/").at(-1)?.split("-")[0]);
}
