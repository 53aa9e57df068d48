import { FormatError } from "../base/mod.ts";
import type { KeyValueStore } from "./key_value_store.ts";
import type { ItemPage, StoredItem } from "./types.ts";

/** How the pages of a list are read. */
export interface ListAllOptions {
  /** Timeout of the read of one page, in milliseconds, if it may take long. */
  timeoutMs?: number;
  /**
   * Called when the read of a page has failed; resolves to whether to read the
   * page again. The pages before it are kept. By default none is.
   */
  onFailure?: (error: unknown) => Promise<boolean>;
}

/** All items of a list, sorted by key. */
export interface ItemList {
  items: StoredItem[];
  /**
   * Revision of the store at the first page. The pages are read at different revisions:
   * a watch from this one misses no change to an earlier page.
   */
  revision: number;
}

/**
 * Reads all items whose keys begin with `prefix`, page after page.
 *
 * @throws the error of a page that is not read again
 * @throws {FormatError} when a page is cut off before its first item
 */
export async function listAll(
  store: KeyValueStore,
  prefix: string,
  { timeoutMs, onFailure }: ListAllOptions = {},
): Promise<ItemList> {
  const items: StoredItem[] = [];
  let firstRevision: number | undefined;
  for (;;) {
    let page: ItemPage;
    try {
      page = await store.list(prefix, { after: items.at(-1)?.key, timeoutMs });
      requireProgress(page, prefix);
    } catch (error) {
      if (await onFailure?.(error)) continue;
      throw error;
    }
    items.push(...page.items);
    firstRevision ??= page.revision;
    if (!page.hasMore) return { items, revision: firstRevision };
  }
}

/** Requires that the page after this one does not begin where this one began. */
function requireProgress({ items, hasMore }: ItemPage, prefix: string): void {
  if (!hasMore || items.length > 0) return;
  throw new FormatError(`A page of ${prefix} has no items, and more follow`);
}
