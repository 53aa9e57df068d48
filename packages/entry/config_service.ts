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

/** Another change came first, or the version is not the one that was read. */
export class ConfigConflictError extends BaobabheadError {
  readonly head: ConfigHead;

  constructor(head: ConfigHead) {
    super(
      `Cannot apply: version ${head.version} by ${head.author} came first`,
    );
    this.head = head;
  }
}

/** How far an entry is with the configuration. */
export type ConfigStanding = Pick<Heartbeat, "head" | "confirmed">;

/** Tells whether an entry is far enough. */
export type StandingTest = (standing: ConfigStanding) => boolean;

/** Result of an apply. */
export interface ApplyResult {
  version: number;
  accepted: boolean;
  changes: number;
  /** Entries that have not confirmed, as incarnations. */
  missing: string[];
}

const WRITE_TRIES = 5;

/** Keeps the configuration of one entry and carries out changes. */
export class ConfigService {
  readonly #store: Store;
  readonly #clock: Clock;
  readonly #log: EventLog;
  readonly #makeId: () => string;
  readonly #onChange: () => void;
  readonly #findUnconfirmed: (isDone: StandingTest) => string[];
  readonly #isHeardOf: (incarnation: string) => boolean;
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
      /** Lists the other members that are not far enough. */
      findUnconfirmed: (isDone: StandingTest) => string[];
      /** Tells whether a member has ever told how far it is. */
      isHeardOf: (incarnation: string) => boolean;
    },
  ) {
    this.#store = options.store;
    this.#clock = options.clock;
    this.#log = options.log;
    this.#makeId = options.makeId;
    this.#onChange = options.onChange;
    this.#findUnconfirmed = options.findUnconfirmed;
    this.#isHeardOf = options.isHeardOf;
  }

  /** Configuration of this entry. */
  get state(): ConfigState {
    return this.#state;
  }

  /** Grows with each change of what is staged or accepted. */
  get order(): number {
    const { version, accepted } = this.#state.head;
    return version + accepted;
  }

  /** Newest version whose restrictions are certainly in force here. */
  get confirmed(): number {
    return this.#confirmed;
  }

  /** Notes that the restrictions of a version are in force here. */
  confirm(version: number): void {
    this.#confirmed = Math.max(this.#confirmed, version);
  }

  /** Returns the limits in force, by team. */
  listLimits(): Record<string, number> {
    return this.#limits;
  }

  /** Adopts records unless they would revert the configuration. */
  adopt(update: ConfigUpdate): void {
    const before = this.#state.head;
    this.#state = adoptUpdate(this.#state, update);
    const { head, effective } = this.#state;
    if (head === before) return;
    assertInvariant(
      head.version >= before.version && head.accepted >= before.accepted,
      `Configuration ${before.version} would revert to ${head.version}`,
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

  /** Adopts what was read from the store. */
  adoptStored(stored: StoredConfig): void {
    if (!stored.head || !isNewerHead(stored.head, this.#state.head)) return;
    const pages = [...stored.pages].map(([number, page]) => ({ number, page }));
    this.adopt({ head: stored.head, pages });
  }

  /** Returns the records that an entry with version `have` lacks. */
  listUpdate(have: number): ConfigUpdate {
    const pages = this.#state.pages.flatMap((page, number) =>
      getPageVersion(page) > have ? [{ number, page }] : []
    );
    return { head: this.#state.head, pages };
  }

  /**
   * Stages items over the version `base` and waits until every entry has
   * confirmed, at most a few seconds.
   *
   * @throws {ConfigConflictError} when another change came first
   * @throws {NotSentError | UnknownEffectError} when the store does not answer
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
    const whole = this.#isStoreBehind(stored);
    if (changes > 0 || whole) {
      const writer = this.#makeId();
      const now = this.#clock.now();
      const update = stageItems(state, items, { author, writer, now });
      await this.#write(update, { stored, whole });
    }
    return { changes, ...await this.#finishApply() };
  }

  /** Accepts the newest version that every entry has confirmed. */
  async acceptStaged(): Promise<void> {
    const { head } = this.#state;
    if (head.accepted === head.version) return;
    let confirmed = this.#confirmed;
    const isConfirmed = (other: ConfigStanding) => {
      confirmed = Math.min(confirmed, other.confirmed);
      return other.confirmed >= head.version;
    };
    const missing = this.#findUnconfirmed(isConfirmed);
    if (missing.some((incarnation) => !this.#isHeardOf(incarnation))) return;
    if (confirmed <= head.accepted) return;
    const stored = await this.#readStored();
    if (this.#state.head !== head) return;
    const accepted = {
      ...head,
      accepted: confirmed,
      writer: this.#makeId(),
    };
    const whole = this.#isStoreBehind(stored);
    await this.#write({ head: accepted, pages: [] }, { stored, whole });
  }

  async #finishApply(): Promise<Omit<ApplyResult, "changes">> {
    const { version } = this.#state.head;
    const until = this.#clock.now() + APPLY_WAIT_MS;
    const isInForce = ({ head }: ConfigStanding) => head.accepted >= version;
    for (;;) {
      await this.acceptStaged().catch(() => {});
      const accepted = this.#state.head.accepted >= version;
      const missing = this.#findUnconfirmed(isInForce);
      if (accepted && missing.length === 0) {
        return { version, accepted, missing };
      }
      if (this.#clock.now() >= until) return { version, accepted, missing };
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

  /** True when the store was restored to an older state. */
  #isStoreBehind(stored: StoredConfig): boolean {
    return (stored.head?.version ?? 0) < this.#state.head.version;
  }

  /**
   * Writes an update with its head compared. The same write may be repeated
   * after a lost answer: only one can take effect, and a read tells which.
   */
  async #write(
    update: ConfigUpdate,
    options: { stored: StoredConfig; whole: boolean },
  ): Promise<void> {
    const commit = this.#makeCommit(update, options);
    for (let number = 0; number < WRITE_TRIES; number++) {
      try {
        const result = await this.#store.commit(commit);
        if (result.succeeded) return this.adopt(update);
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
      "Cannot tell whether the change took effect: the store does not answer",
    );
  }

  #makeCommit(
    update: ConfigUpdate,
    options: { stored: StoredConfig; whole: boolean },
  ): StoreCommit {
    const changed = new Map(
      update.pages.map(({ number, page }) => [number, page]),
    );
    const pages = options.whole
      ? this.#state.pages.map((page, number) => ({
        number,
        page: changed.get(number) ?? page,
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
