import { computeBucket, FormatError } from "../base/mod.ts";
import { CONFIG_PAGES } from "./constants.ts";
import {
  ChangeKind,
  type ConfigChange,
  type ConfigItems,
  type Configuration,
} from "./types.ts";

const ITEM_KINDS = ["teams", "keys", "queues"] as const;

/** Splits a configuration into items, one per section. */
export function splitConfiguration(configuration: Configuration): ConfigItems {
  const items: ConfigItems = {};
  for (const kind of ITEM_KINDS) {
    for (const [name, value] of Object.entries(configuration[kind])) {
      items[`${kind}.${name}`] = JSON.stringify(value);
    }
  }
  return items;
}

/**
 * Joins the items of several pages into a configuration. Pages are immutable,
 * so the parsed result of each page is cached.
 *
 * @throws {FormatError} for an item of an unknown kind
 */
export function joinPages(pages: readonly ConfigItems[]): Configuration {
  const configuration: Configuration = { teams: {}, keys: {}, queues: {} };
  for (const items of pages) {
    const parsed = parsePage(items);
    for (const kind of ITEM_KINDS) {
      Object.assign(configuration[kind], parsed[kind]);
    }
  }
  return configuration;
}

const parsedPages = new WeakMap<ConfigItems, Configuration>();

function parsePage(items: ConfigItems): Configuration {
  const cached = parsedPages.get(items);
  if (cached) return cached;
  const parsed = parseItems(items);
  parsedPages.set(items, parsed);
  return parsed;
}

function parseItems(items: ConfigItems): Configuration {
  const configuration: Configuration = { teams: {}, keys: {}, queues: {} };
  for (const [id, value] of Object.entries(items)) {
    const [kind, name] = id.split(".");
    const itemKind = ITEM_KINDS.find((candidate) => candidate === kind);
    if (!itemKind) {
      throw new FormatError(`Cannot read configuration item ${id}`);
    }
    configuration[itemKind][name] = JSON.parse(value);
  }
  return configuration;
}

/** Returns the number of the page that contains an item. */
export function computePageNumber(item: string): number {
  return computeBucket(item, CONFIG_PAGES);
}

/** Lists the differences between two sets of items, sorted by item id. */
export function diffItems(
  before: ConfigItems,
  after: ConfigItems,
): ConfigChange[] {
  const ids = new Set([...Object.keys(before), ...Object.keys(after)]);
  const changes: ConfigChange[] = [];
  for (const item of [...ids].sort()) {
    if (before[item] === after[item]) continue;
    changes.push({
      kind: classifyChange(before[item], after[item]),
      item,
      before: before[item],
      after: after[item],
    });
  }
  return changes;
}

function classifyChange(before?: string, after?: string): ChangeKind {
  if (before === undefined) return ChangeKind.Added;
  if (after === undefined) return ChangeKind.Removed;
  return ChangeKind.Changed;
}
