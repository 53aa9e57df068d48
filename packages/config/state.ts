import { CONFIG_PAGES } from "./constants.ts";
import { findPage, joinPages } from "./items.ts";
import { restrictConfiguration } from "./restrict.ts";
import type {
  ConfigHead,
  ConfigItems,
  ConfigPage,
  Configuration,
  PageVersion,
} from "./types.ts";

/** What one entry knows of the configuration. */
export interface ConfigState {
  head: ConfigHead;
  pages: ConfigPage[];
  /** What decisions obey: restrictions of staged versions included. */
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
    versions: [{ version: 0, items: {} }],
  }));
  return { head, pages, effective: EMPTY };
}

/** Tells whether a head is newer than another; only newer ones are adopted. */
export function isNewerHead(head: ConfigHead, than: ConfigHead): boolean {
  if (head.version !== than.version) return head.version > than.version;
  return head.accepted > than.accepted;
}

/** Returns the number of the version that last changed a page. */
export function getPageVersion(page: ConfigPage): number {
  return getNewest(page).version;
}

/** Adopts an update unless it would revert the state. */
export function adoptUpdate(
  state: ConfigState,
  update: ConfigUpdate,
): ConfigState {
  if (!isNewerHead(update.head, state.head)) return state;
  const pages = [...state.pages];
  for (const { number, page } of update.pages) {
    if (getPageVersion(page) >= getPageVersion(pages[number])) {
      pages[number] = page;
    }
  }
  const head = update.head;
  return { head, pages, effective: computeEffective(pages, head.accepted) };
}

/** Returns the items of the newest version, staged or accepted. */
export function listNewestItems(state: ConfigState): ConfigItems {
  return Object.assign({}, ...selectItems(state.pages, state.head.version));
}

/** Returns the items of the newest accepted version. */
export function listAcceptedItems(state: ConfigState): ConfigItems {
  return Object.assign({}, ...selectItems(state.pages, state.head.accepted));
}

/** Builds the records that stage `items` on top of a state. */
export function stageItems(
  state: ConfigState,
  items: ConfigItems,
  options: { author: string; writer: string; now: number },
): ConfigUpdate {
  const { accepted } = state.head;
  const version = state.head.version + 1;
  const next = Array.from({ length: CONFIG_PAGES }, (): ConfigItems => ({}));
  for (const [id, value] of Object.entries(items)) {
    next[findPage(id)][id] = value;
  }
  const pages = state.pages.flatMap((page, number) => {
    if (isSameItems(getNewest(page).items, next[number])) return [];
    const kept = dropBefore(page, accepted);
    const versions = [...kept, { version, items: next[number] }];
    return [{ number, page: { versions } }];
  });
  const { author, writer, now: at } = options;
  return { head: { version, accepted, author, writer, at }, pages };
}

/** The accepted configuration, restricted by every later version. */
function computeEffective(
  pages: ConfigPage[],
  accepted: number,
): Configuration {
  const staged = new Set(
    pages.flatMap(({ versions }) =>
      versions.map(({ version }) => version).filter((one) => one > accepted)
    ),
  );
  let effective = joinPages(selectItems(pages, accepted));
  for (const version of staged) {
    const later = joinPages(selectItems(pages, version));
    effective = restrictConfiguration(effective, later);
  }
  return effective;
}

function selectItems(pages: ConfigPage[], version: number): ConfigItems[] {
  return pages.map((page) => findVersion(page, version)?.items ?? {});
}

function findVersion(
  page: ConfigPage,
  version: number,
): PageVersion | undefined {
  return page.versions.findLast((one) => one.version <= version);
}

function dropBefore(page: ConfigPage, accepted: number): PageVersion[] {
  const oldest = findVersion(page, accepted)?.version ?? 0;
  return page.versions.filter(({ version }) => version >= oldest);
}

function getNewest(page: ConfigPage): PageVersion {
  return page.versions[page.versions.length - 1];
}

function isSameItems(a: ConfigItems, b: ConfigItems): boolean {
  const keys = Object.keys(a);
  return keys.length === Object.keys(b).length &&
    keys.every((key) => a[key] === b[key]);
}
