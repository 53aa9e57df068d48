import type { Clock } from "../base/mod.ts";
import type { CurrentTime } from "../cell/mod.ts";
import { EventCode, type EventLog } from "../events/mod.ts";
import { type KeyValueStore, listAll } from "../storage/mod.ts";
import { explainIsolation, type LinkCounts } from "./claim_rules.ts";
import {
  CUT_OFF_PREFIX,
  FIRST_ISOLATION_CHECK_MS,
  ISOLATION_CHECK_INTERVAL_MS,
  ISOLATION_CHECK_KEY,
  MAX_ASKED_ENTRIES,
  OWNER_KEY,
  OWNER_LEASE_MS,
} from "./constants.ts";
import type { Ownership } from "./election.ts";
import type { IsolationQuestion } from "./types.ts";

/** The dependencies of an `IsolationCheck`. */
export interface IsolationCheckParts {
  store: KeyValueStore;
  clock: Clock;
  log: EventLog;
  ownership: Ownership;
  /** Lists the names of the entries that are linked to this one. */
  listLinked: () => string[];
  /**
   * Lists the names of the entries whose links went silent recently, after the time
   * `since` in milliseconds, and that have none now.
   */
  listUnresponsive: (since: number) => string[];
  /** Called when the cell should be left to the other entries. */
  onIsolated: (reason: string) => void;
}

/**
 * Tells an owner that is cut off from the others from one whose peers are dead: it asks
 * through the store which entries do not reach it. It asks once after a change of owner,
 * as it knows only entries that were linked to it, and while most of these are silent.
 */
export class IsolationCheck {
  readonly #parts: IsolationCheckParts;
  /** From when on a silence counts, in milliseconds. */
  readonly #silentSince: number;
  #question: IsolationQuestion | undefined;
  #questions = 0;
  #answers = 0;
  #askedAt = Number.NEGATIVE_INFINITY;
  /** When it asks whatever it knows, in milliseconds; infinite: it has, or does not. */
  #firstCheckAt: number;
  /** The first question was answered by more entries than are linked. */
  #isDoubtful = false;
  #isCutOff = false;
  #isBusy = false;
  #isStopped = false;

  constructor(parts: IsolationCheckParts) {
    this.#parts = parts;
    // The cell was left to silent entries that did not take it: the same silence is no
    // reason to leave it again.
    const now = parts.clock.now();
    const { isUntaken } = parts.ownership;
    this.#silentSince = isUntaken ? now : Number.NEGATIVE_INFINITY;
    this.#firstCheckAt = isUntaken
      ? Number.POSITIVE_INFINITY
      : now + FIRST_ISOLATION_CHECK_MS;
  }

  /**
   * True while neither most entries nor the store answer: another entry may own the cell,
   * and callers are better served there.
   */
  get isCutOff(): boolean {
    return this.#isCutOff;
  }

  /** Begins the next step of the check, if one is due and none is under way. */
  step(time: CurrentTime): void {
    if (this.#isStopped) return;
    this.#updateCutOff(time);
    if (this.#isBusy) return;
    const { now } = time;
    const { silent, reachable } = this.#countEntries();
    const isSuspected = silent > reachable || this.#isDoubtful;
    const isDue = isSuspected || now >= this.#firstCheckAt;
    if (!isDue && !this.#question) return;
    this.#isBusy = true;
    this.#runStep({ isDue, isSuspected }, now)
      .catch((error) =>
        this.#parts.log.record(EventCode.StoreUnavailable, {
          reader: "isolation check",
          reason: String(error),
        })
      )
      .finally(() => this.#isBusy = false);
  }

  /** Stops the check; what it wrote ends with the owner's lease. */
  stop(): void {
    this.#isStopped = true;
  }

  /** Lasts until the store confirms the lease, as silent entries are forgotten. */
  #updateCutOff(time: CurrentTime): void {
    const { ownership, log } = this.#parts;
    const leaseAgeMs = ownership.confirmation.measureAge(time);
    const isStoreSilent = leaseAgeMs > OWNER_LEASE_MS;
    const counts = this.#countEntries();
    const isCutOff = isStoreSilent &&
      (this.#isCutOff || counts.silent > counts.reachable);
    if (isCutOff === this.#isCutOff) return;
    this.#isCutOff = isCutOff;
    log.record(EventCode.OwnerCutOff, { isCutOff, leaseAgeMs, ...counts });
  }

  #countEntries(): LinkCounts {
    const { listLinked, listUnresponsive } = this.#parts;
    return {
      reachable: listLinked().length + 1,
      silent: listUnresponsive(this.#silentSince).length,
    };
  }

  async #runStep(
    { isDue, isSuspected }: { isDue: boolean; isSuspected: boolean },
    now: number,
  ): Promise<void> {
    const isOpen = now - this.#askedAt < ISOLATION_CHECK_INTERVAL_MS;
    const isFirst = this.#question?.isSuspected === false;
    // The first question is no hurry: its answers are read once.
    if (isOpen && isFirst && !isSuspected) return;
    if (isOpen && !isFirst) return await this.#readAnswers();
    if (isFirst) await this.#readAnswers();
    return isDue || this.#isDoubtful
      ? await this.#askEntries(isSuspected || this.#isDoubtful, now)
      : await this.#dropQuestion();
  }

  async #askEntries(isSuspected: boolean, now: number): Promise<void> {
    const { store, log, ownership } = this.#parts;
    const counts = this.#countEntries();
    const question = {
      id: `${ownership.revision}.${++this.#questions}`,
      isSuspected,
      share: Math.min(
        1,
        MAX_ASKED_ENTRIES / Math.max(counts.silent, counts.reachable),
      ),
    };
    log.record(EventCode.IsolationAsked, {
      ...counts,
      ...question,
      lastAnswers: this.#answers,
    });
    this.#firstCheckAt = Number.POSITIVE_INFINITY;
    this.#isDoubtful = false;
    this.#askedAt = now;
    this.#question = question;
    this.#answers = 0;
    await store.commit({
      expected: [{ key: OWNER_KEY, revision: ownership.revision }],
      puts: [{
        key: ISOLATION_CHECK_KEY,
        value: JSON.stringify(question),
        lease: ownership.record.lease,
      }],
      deletes: [],
    });
  }

  async #readAnswers(): Promise<void> {
    const question = this.#question;
    if (!question) return;
    const { items } = await listAll(this.#parts.store, CUT_OFF_PREFIX);
    if (this.#isStopped) return;
    const linked = new Set(this.#parts.listLinked());
    this.#answers =
      items.filter(({ key, value }) =>
        value === question.id && !linked.has(key.slice(CUT_OFF_PREFIX.length))
      ).length;
    const { share } = question;
    const view = { ...this.#countEntries(), answers: this.#answers, share };
    const reason = explainIsolation(view);
    if (!reason) return;
    // After the first question it asks again, as the entries that are linked leave the
    // cell to the others then.
    if (question.isSuspected) this.#parts.onIsolated(reason);
    else this.#isDoubtful = true;
  }

  async #dropQuestion(): Promise<void> {
    const { store, log, ownership } = this.#parts;
    log.record(EventCode.IsolationClosed, {
      ...this.#countEntries(),
      lastAnswers: this.#answers,
    });
    this.#question = undefined;
    await store.commit({
      expected: [{ key: OWNER_KEY, revision: ownership.revision }],
      puts: [],
      deletes: [ISOLATION_CHECK_KEY],
    });
  }
}
