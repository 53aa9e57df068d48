import { CONFIG_PAGES } from "./constants.ts";
import { findPage, joinPages } from "./items.ts";
import { restrictConfiguration } from "./restrict.ts";
import type {
  ConfigHead,
  ConfigItems,
  ConfigPage,
  Configuration,
} from "./types.ts";

/** What one entry knows of the configuration. */
export interface ConfigState {
  head: ConfigHead;
  pages: ConfigPage[];
  /** What decisions obey: restrictions of the staged version included. */
  effective: Configuration;
}

/** A set of records to be adopted together. */
export interface ConfigUpdate {
  head: ConfigHead;
  pages: { number: number; page: ConfigPage }[];
}

const EMPTY: Configuration = { teams: {}, keys: {}, queues: {} };

/** Returns the state of an entry that has seen no configuration yet. */
export function createConfigState(): ConfigState {
  const head = { version: 0, accepted: 0, author: "", writer: "", at: 0 };
  const pages = Array.from({ length: CONFIG_PAGES }, () => ({
    version: 0,
    items: {},
    prior: null,
  }));
  return { head, pages, effective: EMPTY };
}

/** Tells whether a head is newer than another; only newer ones are adopted. */
export function isNewerHead(head: ConfigHead, than: ConfigHead): boolean {
  if (head.version !== than.version) return head.version > than.version;
  return head.accepted > than.accepted;
}

/** Adopts an update unless it would revert the state. */
export function adoptUpdate(
  state: ConfigState,
  update: ConfigUpdate,
): ConfigState {
  if (!isNewerHead(update.head, state.head)) return state;
  const pages = [...state.pages];
  for (const { number, page } of update.pages) {
    if (page.version >= pages[number].version) pages[number] = page;
  }
  const head = update.head;
  return { head, pages, effective: computeEffective(pages, head.accepted) };
}

/** Returns the items of the newest version, staged or accepted. */
export function listNewestItems(state: ConfigState): ConfigItems {
  return Object.assign({}, ...state.pages.map((page) => page.items));
}

/** Returns the items of the newest accepted version. */
export function listAcceptedItems(state: ConfigState): ConfigItems {
  const pages = selectAccepted(state.pages, state.head.accepted);
  return Object.assign({}, ...pages);
}

/** Builds the records that stage `items` on top of a state. */
export function stageItems(
  state: ConfigState,
  items: ConfigItems,
  options: { author: string; writer: string; now: number },
): ConfigUpdate {
  const version = state.head.version + 1;
  const next = Array.from({ length: CONFIG_PAGES }, (): ConfigItems => ({}));
  for (const [id, value] of Object.entries(items)) {
    next[findPage(id)][id] = value;
  }
  const pages = state.pages.flatMap((page, number) => {
    if (isSameItems(page.items, next[number])) return [];
    const isAccepted = page.version <= state.head.accepted;
    const prior = isAccepted ? page.items : page.prior;
    return [{ number, page: { version, items: next[number], prior } }];
  });
  const head = {
    version,
    accepted: state.head.accepted,
    author: options.author,
    writer: options.writer,
    at: options.now,
  };
  return { head, pages };
}

function computeEffective(
  pages: ConfigPage[],
  accepted: number,
): Configuration {
  const newest = joinPages(pages.map((page) => page.items));
  if (pages.every((page) => page.version <= accepted)) return newest;
  const before = joinPages(selectAccepted(pages, accepted));
  return restrictConfiguration(before, newest);
}

function selectAccepted(pages: ConfigPage[], accepted: number): ConfigItems[] {
  return pages.map((page) =>
    page.version <= accepted ? page.items : page.prior ?? {}
  );
}

function isSameItems(a: ConfigItems, b: ConfigItems): boolean {
  const keys = Object.keys(a);
  return keys.length === Object.keys(b).length &&
    keys.every((key) => a[key] === b[key]);
}
