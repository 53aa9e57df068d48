import { NotSentError } from "../base/mod.ts";
import {
  CommitStatus,
  type ControlState,
  type PlannedCommit,
} from "../control/mod.ts";
import type { Store, StoreCommit } from "../platform/mod.ts";

/** Sends planned commits and settles them. */
export class Committer {
  readonly #control: ControlState;
  readonly #store: Store;
  readonly #onEffect: () => void;

  /** `onEffect` is called whenever what this entry may count on changed. */
  constructor(
    options: {
      control: ControlState;
      store: Store;
      onEffect: () => void;
    },
  ) {
    this.#control = options.control;
    this.#store = options.store;
    this.#onEffect = options.onEffect;
  }

  /** Sends one commit; what it gives up is given up before it is sent. */
  async send(planned: PlannedCommit): Promise<CommitStatus> {
    const commit = this.#control.buildCommit(planned);
    this.#control.begin(planned);
    this.#onEffect();
    const result = await this.#commit(commit);
    this.#control.settle(planned, result);
    this.#onEffect();
    return result.status;
  }

  async #commit(
    commit: StoreCommit,
  ): Promise<{ status: CommitStatus; revision: number }> {
    try {
      const result = await this.#store.commit(commit);
      const status = result.succeeded
        ? CommitStatus.Succeeded
        : CommitStatus.Conflicted;
      return { status, revision: result.revision };
    } catch (error) {
      const status = error instanceof NotSentError
        ? CommitStatus.NotSent
        : CommitStatus.Unknown;
      return { status, revision: 0 };
    }
  }
}
