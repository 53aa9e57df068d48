import { NotSentError } from "../base/mod.ts";
import {
  CommitStatus,
  type ControlState,
  type PlannedCommit,
} from "../control/mod.ts";
import type { Store, StoreCommit } from "../platform/mod.ts";

/** Sends planned commits to the store and applies their results. */
export class Committer {
  readonly #control: ControlState;
  readonly #store: Store;
  readonly #onStateChange: () => void;

  /**
   * `onStateChange` is called whenever the shards or grants of this entry may
   * have changed.
   */
  constructor(
    options: {
      control: ControlState;
      store: Store;
      onStateChange: () => void;
    },
  ) {
    this.#control = options.control;
    this.#store = options.store;
    this.#onStateChange = options.onStateChange;
  }

  /**
   * Sends one commit. Before it is sent, this entry stops using the shards and
   * grants that the commit releases.
   */
  async send(planned: PlannedCommit): Promise<CommitStatus> {
    const commit = this.#control.buildCommit(planned);
    this.#control.begin(planned);
    this.#onStateChange();
    const commitResult = await this.#commit(commit);
    this.#control.settle(planned, commitResult);
    this.#onStateChange();
    return commitResult.status;
  }

  async #commit(
    commit: StoreCommit,
  ): Promise<{ status: CommitStatus; revision: number }> {
    try {
      const commitResult = await this.#store.commit(commit);
      const status = commitResult.succeeded
        ? CommitStatus.Succeeded
        : CommitStatus.Conflicted;
      return { status, revision: commitResult.revision };
    } catch (error) {
      const status = error instanceof NotSentError
        ? CommitStatus.NotSent
        : CommitStatus.Unknown;
      return { status, revision: 0 };
    }
  }
}
