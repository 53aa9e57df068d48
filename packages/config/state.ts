import { CONFIG_PAGES } from "./constants.ts";
import { computePageNumber, joinPages } from "./items.ts";
import { restrictConfiguration } from "./restrict.ts";
import type {
  ConfigHead,
  ConfigItems,
  ConfigPage,
  Configuration,
  PageVersion,
} from "./types.ts";

/** The configuration as one entry has read it. */
export interface ConfigState {
  head: ConfigHead;
  pages: ConfigPage[];
  /** Accepted configuration, restricted by the staged versions. */
  effective: Configuration;
}

/** A head and changed pages that are adopted together. */
export interface ConfigUpdate {
  head: ConfigHead;
  pages: { number: number; page: ConfigPage }[];
}

const EMPTY_CONFIGURATION: Configuration = { teams: {}, keys: {}, queues: {} };

/** Returns the initial state of an entry, without any configuration. */
export function createConfigState(): ConfigState {
  const head = { version: 0, accepted: 0, author: "", writer: "", at: 0 };
  const pages = Array.from({ length: CONFIG_PAGES }, () => ({
    versions: [{ version: 0, items: {} }],
  }));
  return { head, pages, effective: EMPTY_CONFIGURATION };
}

/**
 * Returns whether `candidate` is newer than `current`, by version, then by
 * accepted version. Only newer heads are adopted.
 */
export function isNewerHead(
  candidate: ConfigHead,
  current: ConfigHead,
): boolean {
  if (candidate.version !== current.version) {
    return candidate.version > current.version;
  }
  return candidate.accepted > current.accepted;
}

/** Returns the version that last changed a page. */
export function getPageVersion(page: ConfigPage): number {
  return getNewestVersion(page).version;
}

/**
 * Applies an update. Returns `state` unchanged if the update is not newer, so
 * that the configuration never reverts.
 */
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

/** Returns the items of the newest version, whether staged or accepted. */
export function listNewestItems(state: ConfigState): ConfigItems {
  return Object.assign({}, ...selectItems(state.pages, state.head.version));
}

/** Returns the items of the newest accepted version. */
export function listAcceptedItems(state: ConfigState): ConfigItems {
  return Object.assign({}, ...selectItems(state.pages, state.head.accepted));
}

/** Builds the update that stages `items` as the next version of a state. */
export function stageItems(
  state: ConfigState,
  items: ConfigItems,
  options: { author: string; writer: string; now: number },
): ConfigUpdate {
  const { accepted } = state.head;
  const version = state.head.version + 1;
  const itemsByPage = Array.from(
    { length: CONFIG_PAGES },
    (): ConfigItems => ({}),
  );
  for (const [id, value] of Object.entries(items)) {
    itemsByPage[computePageNumber(id)][id] = value;
  }
  const pages = state.pages.flatMap((page, number) => {
    if (hasSameItems(getNewestVersion(page).items, itemsByPage[number])) {
      return [];
    }
    const retainedVersions = dropSupersededVersions(page, accepted);
    const versions = [...retainedVersions, {
      version,
      items: itemsByPage[number],
    }];
    return [{ number, page: { versions } }];
  });
  const { author, writer, now: at } = options;
  return { head: { version, accepted, author, writer, at }, pages };
}

/** Restricts the accepted configuration by every staged version. */
function computeEffective(
  pages: ConfigPage[],
  accepted: number,
): Configuration {
  const stagedVersions = new Set(
    pages.flatMap(({ versions }) =>
      versions.map(({ version }) => version).filter((candidate) =>
        candidate > accepted
      )
    ),
  );
  let effective = joinPages(selectItems(pages, accepted));
  for (const version of stagedVersions) {
    const staged = joinPages(selectItems(pages, version));
    effective = restrictConfiguration(effective, staged);
  }
  return effective;
}

function selectItems(pages: ConfigPage[], version: number): ConfigItems[] {
  return pages.map((page) => findVersion(page, version)?.items ?? {});
}

/** Finds the items of a page that apply to a version of the configuration. */
function findVersion(
  page: ConfigPage,
  version: number,
): PageVersion | undefined {
  return page.versions.findLast((candidate) => candidate.version <= version);
}

function dropSupersededVersions(
  page: ConfigPage,
  accepted: number,
): PageVersion[] {
  const oldestRetained = findVersion(page, accepted)?.version ?? 0;
  return page.versions.filter(({ version }) => version >= oldestRetained);
}

function getNewestVersion(page: ConfigPage): PageVersion {
  return page.versions[page.versions.length - 1];
}

function hasSameItems(a: ConfigItems, b: ConfigItems): boolean {
  const keys = Object.keys(a);
  return keys.length === Object.keys(b).length &&
    keys.every((key) => a[key] === b[key]);
}
