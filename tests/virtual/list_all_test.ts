import test from "ava";
import { FormatError } from "../../packages/base/mod.ts";
import { readJournal } from "../../packages/journal/mod.ts";
import { LOG_PREFIX } from "../../packages/journal/constants.ts";
import {
  type ItemPage,
  listAll,
  type ListOptions,
} from "../../packages/storage/mod.ts";
import { MemoryStore, MemoryStoreState } from "./memory_store.ts";
import { ProcessClock, VirtualTime } from "./virtual_time.ts";

const KEYS = 234;

/** Store whose pages hold `pageLength` items, one of them none at all. */
class PagedStore extends MemoryStore {
  pageLength = 50;
  /** Index of the page that is cut off before its first item; undefined: none. */
  emptyPage: number | undefined;
  pages = 0;
  /** Prefix of its keys. */
  readonly #prefix: string;

  constructor(prefix: string) {
    const clock = new ProcessClock(new VirtualTime(), "reader");
    super(new MemoryStoreState(), clock);
    this.#prefix = prefix;
  }

  override list(
    prefix: string,
    { after = "" }: ListOptions = {},
  ): Promise<ItemPage> {
    const isEmpty = this.pages++ === this.emptyPage;
    const keys = Array.from(
      { length: prefix === this.#prefix ? KEYS : 0 },
      (_, n) => `${prefix}${String(n).padStart(12, "0")}`,
    ).filter((key) => key > after);
    const items = keys.slice(0, isEmpty ? 0 : this.pageLength).map((key) => ({
      key,
      value: "[]",
      revision: 1,
    }));
    const hasMore = items.length < keys.length;
    return Promise.resolve({ items, hasMore, revision: this.pages });
  }
}

test("a list is read whole, whatever the length of its pages", async (t) => {
  for (const pageLength of [1, 50, KEYS - 1, KEYS, KEYS + 1]) {
    const store = new PagedStore("a/");
    store.pageLength = pageLength;
    const { items, revision } = await listAll(store, "a/");
    t.is(items.length, KEYS, `${pageLength} a page`);
    t.is(revision, 1);
  }
});

// Guards against a list that is taken for a whole one because a page of it was cut off
// before its first item: endpoints would count as gone.
test("a page without items before the end of a list is no end", async (t) => {
  const store = new PagedStore("a/");
  store.emptyPage = 2;
  await t.throwsAsync(listAll(store, "a/"), { instanceOf: FormatError });
});

// Guards against accepted jobs that a new owner loses in the same way.
test("the journal is read again from a page that was cut off before its first item", async (t) => {
  const store = new PagedStore(LOG_PREFIX);
  store.emptyPage = 1;
  let failures = 0;
  const contents = await readJournal(store, {
    timeoutMs: 1_000,
    onFailure: () => {
      failures++;
      return Promise.resolve(true);
    },
  });
  t.is(failures, 1);
  t.is(contents.lastSegment, KEYS - 1);
});
