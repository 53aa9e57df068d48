import {
  assertInvariant,
  BaobabheadError,
  type Clock,
  NotSentError,
  UnknownEffectError,
} from "../base/mod.ts";
import {
  adoptUpdate,
  type ConfigHead,
  type ConfigItems,
  type ConfigState,
  type ConfigUpdate,
  createConfigState,
  diffItems,
  getPageVersion,
  isNewerHead,
  listNewestItems,
  stageItems,
} from "../config/mod.ts";
import {
  CONFIG_HEAD_KEY,
  CONFIG_PAGE_PREFIX,
  CONFIG_PREFIX,
  type StoredConfig,
} from "../control/mod.ts";
import { EventCode, type EventLog } from "../events/mod.ts";
import type { Store, StoreCommit } from "../platform/mod.ts";
import type { Heartbeat } from "../peers/mod.ts";
import { APPLY_POLL_MS, APPLY_WAIT_MS } from "./constants.ts";

/** A change is based on a version that is no longer the newest. */
export class ConfigConflictError extends BaobabheadError {
  readonly head: ConfigHead;

  constructor(head: ConfigHead) {
    super(
      `Cannot apply: version ${head.version} by ${head.author} came first`,
    );
    this.head = head;
  }
}

/** The configuration versions that an entry has received and confirmed. */
export type ConfigProgress = Pick<Heartbeat, "head" | "confirmed">;

/** Returns whether an entry has reached the required progress. */
export type ConfigProgressTest = (progress: ConfigProgress) => boolean;

/** Result of applying a configuration. */
export interface ApplyResult {
  version: number;
  accepted: boolean;
  changes: number;
  /** Incarnations of the peers that have not reported `version` as accepted. */
  missing: string[];
}

const MAX_WRITE_TRIES = 5;

/**
 * Holds the configuration of one entry and applies changes in two steps: a new
 * version is staged in the store, and accepted once every entry has confirmed
 * that its restrictions are in force.
 */
export class ConfigService {
  readonly #store: Store;
  readonly #clock: Clock;
  readonly #log: EventLog;
  readonly #makeId: () => string;
  readonly #onChange: () => void;
  readonly #findUnconfirmed: (hasReached: ConfigProgressTest) => string[];
  readonly #hasReported: (incarnation: string) => boolean;
  #state: ConfigState = createConfigState();
  #confirmed = 0;
  #limits: Record<string, number> = {};

  constructor(
    options: {
      store: Store;
      clock: Clock;
      log: EventLog;
      makeId: () => string;
      /** Called after a newer configuration was adopted. */
      onChange: () => void;
      /** Lists the incarnations of the peers without the required progress. */
      findUnconfirmed: (hasReached: ConfigProgressTest) => string[];
      /** Returns whether a peer has ever reported its progress. */
      hasReported: (incarnation: string) => boolean;
    },
  ) {
    this.#store = options.store;
    this.#clock = options.clock;
    this.#log = options.log;
    this.#makeId = options.makeId;
    this.#onChange = options.onChange;
    this.#findUnconfirmed = options.findUnconfirmed;
    this.#hasReported = options.hasReported;
  }

  /** Configuration state of this entry. */
  get state(): ConfigState {
    return this.#state;
  }

  /** Number that grows whenever a version is staged or accepted. */
  get sequenceNumber(): number {
    const { version, accepted } = this.#state.head;
    return version + accepted;
  }

  /** Newest version whose restrictions are confirmed to be in force here. */
  get confirmed(): number {
    return this.#confirmed;
  }

  /** Records that the restrictions of a version are in force here. */
  confirm(version: number): void {
    this.#confirmed = Math.max(this.#confirmed, version);
  }

  /** Returns the limits in force, as numbers of tasks by team. */
  listLimits(): Record<string, number> {
    return this.#limits;
  }

  /** Adopts an update unless it would revert the configuration. */
  adopt(update: ConfigUpdate): void {
    const previousHead = this.#state.head;
    this.#state = adoptUpdate(this.#state, update);
    const { head, effective } = this.#state;
    if (head === previousHead) return;
    assertInvariant(
      head.version >= previousHead.version &&
        head.accepted >= previousHead.accepted,
      `Configuration ${previousHead.version} would revert to ${head.version}`,
    );
    this.#limits = Object.fromEntries(
      Object.entries(effective.teams).map(([name, { limit }]) => [name, limit]),
    );
    const fields = { version: head.version, author: head.author };
    const isAccepted = head.accepted === head.version;
    this.#log.record(
      isAccepted ? EventCode.ConfigAccepted : EventCode.ConfigStaged,
      fields,
    );
    this.#onChange();
  }

  /** Adopts the configuration read from the store if it is newer. */
  adoptStored(stored: StoredConfig): void {
    if (!stored.head || !isNewerHead(stored.head, this.#state.head)) return;
    const pages = [...stored.pages].map(([number, page]) => ({ number, page }));
    this.adopt({ head: stored.head, pages });
  }

  /** Returns the head and the pages that changed after `knownVersion`. */
  buildUpdate(knownVersion: number): ConfigUpdate {
    const pages = this.#state.pages.flatMap((page, number) =>
      getPageVersion(page) > knownVersion ? [{ number, page }] : []
    );
    return { head: this.#state.head, pages };
  }

  /**
   * Stages items on top of version `base`, then waits up to `APPLY_WAIT_MS`
   * until the version is in force on every entry.
   *
   * @throws {ConfigConflictError} if `base` is no longer the newest version
   * @throws {NotSentError | UnknownEffectError} if the store does not answer
   */
  async apply(
    items: ConfigItems,
    options: { base: number; author: string },
  ): Promise<ApplyResult> {
    const stored = await this.#readStored();
    const { state } = this;
    const { base, author } = options;
    if (base !== state.head.version) throw new ConfigConflictError(state.head);
    const changes = diffItems(listNewestItems(state), items).length;
    const writeAllPages = this.#isStoreBehind(stored);
    if (changes > 0 || writeAllPages) {
      const writer = this.#makeId();
      const now = this.#clock.now();
      const update = stageItems(state, items, { author, writer, now });
      await this.#write(update, { stored, writeAllPages });
    }
    return { changes, ...await this.#finishApply() };
  }

  /**
   * Accepts the newest version that every entry has confirmed. Does nothing
   * while an entry has never reported its progress.
   */
  async acceptStaged(): Promise<void> {
    const { head } = this.#state;
    if (head.accepted === head.version) return;
    let confirmed = this.#confirmed;
    const isConfirmed = (progress: ConfigProgress) => {
      confirmed = Math.min(confirmed, progress.confirmed);
      return progress.confirmed >= head.version;
    };
    const missing = this.#findUnconfirmed(isConfirmed);
    if (missing.some((incarnation) => !this.#hasReported(incarnation))) return;
    if (confirmed <= head.accepted) return;
    const stored = await this.#readStored();
    if (this.#state.head !== head) return;
    const accepted = {
      ...head,
      accepted: confirmed,
      writer: this.#makeId(),
    };
    const writeAllPages = this.#isStoreBehind(stored);
    await this.#write({ head: accepted, pages: [] }, { stored, writeAllPages });
  }

  async #finishApply(): Promise<Omit<ApplyResult, "changes">> {
    const { version } = this.#state.head;
    const waitUntil = this.#clock.now() + APPLY_WAIT_MS;
    const isInForce = ({ head }: ConfigProgress) => head.accepted >= version;
    for (;;) {
      await this.acceptStaged().catch(() => {});
      const accepted = this.#state.head.accepted >= version;
      const missing = this.#findUnconfirmed(isInForce);
      if (accepted && missing.length === 0) {
        return { version, accepted, missing };
      }
      if (this.#clock.now() >= waitUntil) return { version, accepted, missing };
      await this.#clock.sleep(APPLY_POLL_MS);
    }
  }

  async #readStored(): Promise<StoredConfig> {
    const { ranges } = await this.#store.read([{ prefix: CONFIG_PREFIX }]);
    const stored: StoredConfig = { headRevision: 0, pages: new Map() };
    for (const record of ranges[0]) {
      if (record.key === CONFIG_HEAD_KEY) {
        stored.head = JSON.parse(record.value);
        stored.headRevision = record.modRevision;
        continue;
      }
      const number = Number(record.key.slice(CONFIG_PAGE_PREFIX.length));
      stored.pages.set(number, JSON.parse(record.value));
    }
    this.adoptStored(stored);
    return stored;
  }

  /** Returns whether the store has an older version, as after a restore. */
  #isStoreBehind(stored: StoredConfig): boolean {
    return (stored.head?.version ?? 0) < this.#state.head.version;
  }

  /**
   * Writes an update by compare-and-swap on the revision of the head. A write
   * without an answer is tried again: the comparison lets at most one of the
   * tries take effect, and the `writer` of the stored head tells whether one
   * did.
   *
   * @throws {ConfigConflictError} if another change was written first
   * @throws {UnknownEffectError} if the store does not answer
   */
  async #write(
    update: ConfigUpdate,
    options: { stored: StoredConfig; writeAllPages: boolean },
  ): Promise<void> {
    const commit = this.#makeCommit(update, options);
    for (let tryNumber = 0; tryNumber < MAX_WRITE_TRIES; tryNumber++) {
      try {
        const commitResult = await this.#store.commit(commit);
        if (commitResult.succeeded) return this.adopt(update);
      } catch (error) {
        if (!isCallFailure(error)) throw error;
        this.#log.record(EventCode.WriteEffectUnknown, { key: "config" });
      }
      const stored = await this.#readStored().catch(() => undefined);
      if (!stored?.head) continue;
      if (stored.head.writer === update.head.writer) return;
      if (stored.headRevision !== options.stored.headRevision) {
        throw new ConfigConflictError(stored.head);
      }
    }
    throw new UnknownEffectError(
      "The change may have taken effect: the store does not answer",
    );
  }

  #makeCommit(
    update: ConfigUpdate,
    options: { stored: StoredConfig; writeAllPages: boolean },
  ): StoreCommit {
    const changedPages = new Map(
      update.pages.map(({ number, page }) => [number, page]),
    );
    const pages = options.writeAllPages
      ? this.#state.pages.map((page, number) => ({
        number,
        page: changedPages.get(number) ?? page,
      }))
      : update.pages;
    return {
      compares: [{
        key: CONFIG_HEAD_KEY,
        modRevision: options.stored.headRevision,
      }],
      puts: [
        { key: CONFIG_HEAD_KEY, value: JSON.stringify(update.head) },
        ...pages.map(({ number, page }) => ({
          key: CONFIG_PAGE_PREFIX + number,
          value: JSON.stringify(page),
        })),
      ],
    };
  }
}

function isCallFailure(error: unknown): boolean {
  return error instanceof NotSentError || error instanceof UnknownEffectError;
}
