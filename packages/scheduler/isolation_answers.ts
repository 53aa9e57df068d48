import type { Random } from "../base/mod.ts";
import { EventCode, type EventLog } from "../events/mod.ts";
import {
  type KeyValueStore,
  requireJson,
  type StoredItem,
  TransactionResult,
} from "../storage/mod.ts";
import {
  CUT_OFF_PREFIX,
  ISOLATION_CHECK_KEY,
  NEAR_CLAIM_DELAY_MS,
  OWNER_KEY,
} from "./constants.ts";
import type { IsolationQuestion } from "./types.ts";

/** The dependencies of `IsolationAnswers`. */
export interface IsolationAnswersParts {
  store: KeyValueStore;
  random: Random;
  log: EventLog;
  /** Name of this entry. */
  entry: string;
  /** Returns whether this entry is linked to the owner that it follows. */
  isOwnerReachable: () => boolean;
  /** Returns whether this entry tried in vain to reach the owner that it follows. */
  isOwnerUnreachable: () => boolean;
}

/** The owner that an entry follows, and whether the entry could replace it. */
export interface FollowedOwner {
  ownerItem: StoredItem;
  /** Lease of the owner. */
  lease: number;
  mayClaim: boolean;
}

/** Answers owners that ask in the store which entries do not reach them. */
export class IsolationAnswers {
  readonly #parts: IsolationAnswersParts;
  #lastQuestion = "";
  #isNear = false;

  constructor(parts: IsolationAnswersParts) {
    this.#parts = parts;
  }

  /**
   * Time by which this entry claims a free cell later, in milliseconds: it was linked to
   * an owner that may have left the cell to entries which were not.
   */
  get claimDelayMs(): number {
    return this.#isNear ? NEAR_CLAIM_DELAY_MS : 0;
  }

  /**
   * Reads the question among the items of the cell, if any. Answers each question once,
   * if this entry could take over the cell.
   *
   * @throws {FormatError} when the question cannot be read; names the key
   */
  noteItems(items: StoredItem[], owner: FollowedOwner): void {
    const { random, log, isOwnerReachable, isOwnerUnreachable } = this.#parts;
    this.#isNear = false;
    const item = items.find(({ key }) => key === ISOLATION_CHECK_KEY);
    if (!item) return;
    const question = requireJson<IsolationQuestion>(item);
    this.#isNear = question.isSuspected && isOwnerReachable();
    if (!owner.mayClaim || !isOwnerUnreachable()) return;
    if (question.id === this.#lastQuestion) return;
    this.#lastQuestion = question.id;
    if (random.drawFloat() >= question.share) return;
    this.#sendAnswer(question, owner).catch((error) =>
      log.record(EventCode.ElectionFailed, { reason: String(error) })
    );
  }

  /** Writes the answer under the owner's lease: it ends with the ownership. */
  async #sendAnswer(
    { id }: IsolationQuestion,
    { ownerItem, lease }: FollowedOwner,
  ): Promise<void> {
    const { store, log, entry } = this.#parts;
    const { result } = await store.commit({
      expected: [{ key: OWNER_KEY, revision: ownerItem.revision }],
      puts: [{ key: `${CUT_OFF_PREFIX}${entry}`, value: id, lease }],
      deletes: [],
    });
    log.record(EventCode.IsolationAnswered, {
      question: id,
      isWritten: result === TransactionResult.Applied,
    });
  }
}
