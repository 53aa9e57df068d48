import {
  NotSentError,
  type Random,
  UnknownEffectError,
} from "../../packages/base/mod.ts";
import {
  type CommitResult,
  type KeyRange,
  Store,
  type StoreCommit,
  type StoreSnapshot,
  type Vm,
  VmList,
  type VmListing,
} from "../../packages/platform/mod.ts";
import type { VirtualTime } from "./virtual_time.ts";

const CALL_TIMEOUT_MS = 2_000;

/** Faults of the store for all processes. */
export interface StoreFaults {
  /** Every call fails as not sent. */
  isDown: boolean;
  /** Delay added to each call, in milliseconds. */
  extraLatencyMs: number;
  /** How many of the next commits take effect but lose their answers. */
  answersToLose: number;
  /** How many of the next commits take effect only after they time out. */
  commitsToDelay: number;
}

/** Contents and faults of the store, shared by all processes. */
export class FakeStoreState {
  readonly values = new Map<string, { value: string; modRevision: number }>();
  readonly faults: StoreFaults = {
    isDown: false,
    extraLatencyMs: 0,
    answersToLose: 0,
    commitsToDelay: 0,
  };
  revision = 1;
  calls = 0;

  /** Returns the values of all keys with a prefix, by key. */
  copyValues(prefix: string): Map<string, string> {
    return new Map(
      [...this.values].flatMap(([key, { value }]) =>
        key.startsWith(prefix) ? [[key, value] as const] : []
      ),
    );
  }

  /**
   * Writes back earlier values at a new revision, as restoring a backup does.
   * Keys without an earlier value stay.
   */
  restoreValues(values: Map<string, string>): void {
    this.revision += 1;
    for (const [key, value] of values) {
      this.values.set(key, { value, modRevision: this.revision });
    }
  }

  /** Returns the values of key ranges at the current revision. */
  read(ranges: KeyRange[]): StoreSnapshot {
    return {
      revision: this.revision,
      ranges: ranges.map(({ prefix, minModRevision = 0 }) =>
        [...this.values].flatMap(([key, stored]) =>
          key.startsWith(prefix) && stored.modRevision >= minModRevision
            ? [{ key, ...stored }]
            : []
        )
      ),
    };
  }

  /** Applies the puts if all compared revisions match. */
  commit(commit: StoreCommit): CommitResult {
    const succeeded = commit.compares.every(({ key, modRevision }) =>
      (this.values.get(key)?.modRevision ?? 0) === modRevision
    );
    if (succeeded) {
      this.revision += 1;
      for (const { key, value } of commit.puts) {
        this.values.set(key, { value, modRevision: this.revision });
      }
    }
    return { succeeded, revision: this.revision };
  }
}

/** Store client of one process. */
export class FakeStore extends Store {
  readonly #state: FakeStoreState;
  readonly #link: PlatformLink;

  constructor(state: FakeStoreState, link: PlatformLink) {
    super();
    this.#state = state;
    this.#link = link;
  }

  override read(ranges: KeyRange[]): Promise<StoreSnapshot> {
    return this.#call(() => this.#state.read(ranges));
  }

  override commit(commit: StoreCommit): Promise<CommitResult> {
    const { faults } = this.#state;
    if (faults.commitsToDelay > 0 && this.#link.isReachable()) {
      faults.commitsToDelay -= 1;
      return this.#commitAfterTimeout(commit);
    }
    return this.#call(() => {
      const result = this.#state.commit(commit);
      if (faults.answersToLose === 0) return result;
      faults.answersToLose -= 1;
      throw new UnknownEffectError("answer lost");
    });
  }

  override async close(): Promise<void> {}

  #call<T>(run: () => T): Promise<T> {
    const { time, processId, random } = this.#link;
    const { faults } = this.#state;
    this.#state.calls += 1;
    return new Promise((resolve, reject) => {
      if (faults.isDown || !this.#link.isReachable()) {
        time.schedule(
          processId,
          5,
          () => reject(new NotSentError("store down")),
        );
        return;
      }
      const delay = 1 + random.drawInt(3) + faults.extraLatencyMs;
      // The process may be frozen or killed before the call is sent.
      const send = (deliver: () => void) =>
        time.schedule(
          processId,
          1,
          () => time.schedule("platform", delay, deliver),
        );
      send(() => {
        let deliverAnswer: () => void;
        try {
          const result = structuredClone(run());
          deliverAnswer = () => resolve(result);
        } catch (error) {
          deliverAnswer = () => reject(error);
        }
        time.schedule(processId, 1, deliverAnswer);
      });
    });
  }

  #commitAfterTimeout(commit: StoreCommit): Promise<CommitResult> {
    const { time, processId, random } = this.#link;
    const delay = CALL_TIMEOUT_MS + random.drawInt(2_000);
    time.schedule("platform", delay, () => this.#state.commit(commit));
    return new Promise((_, reject) => {
      const error = new UnknownEffectError("timeout");
      time.schedule(processId, CALL_TIMEOUT_MS, () => reject(error));
    });
  }
}

/** Connection of one process to the store and the VM list. */
export interface PlatformLink {
  time: VirtualTime;
  processId: string;
  random: Random;
  isReachable: () => boolean;
}

/** VM list of all failure domains, with the revision of each change. */
export class FakeVmListState {
  readonly vms = new Map<string, Vm & { revision: number }>();
  readonly removed = new Map<string, { domain: string; revision: number }>();
  revision = 1;

  /** Adds or replaces a VM. */
  add(vm: Vm): void {
    this.revision += 1;
    this.removed.delete(vm.id);
    this.vms.set(vm.id, { ...vm, revision: this.revision });
  }

  /** Removes a VM, if it is listed. */
  remove(id: string): void {
    const vm = this.vms.get(id);
    if (!vm) return;
    this.revision += 1;
    this.vms.delete(id);
    this.removed.set(id, { domain: vm.domain, revision: this.revision });
  }

  /** Lists the changes of a failure domain after a revision. */
  list(domain: string, since: number): VmListing {
    const changed = [...this.vms.values()].filter((vm) =>
      vm.domain === domain && vm.revision > since
    );
    const removed = [...this.removed].flatMap(([id, entry]) =>
      entry.domain === domain && entry.revision > since ? [id] : []
    );
    return { revision: this.revision, complete: since === 0, changed, removed };
  }
}

/** VM list client of one process, for its failure domain. */
export class FakeVmList extends VmList {
  readonly #state: FakeVmListState;
  readonly #domain: string;
  readonly #link: PlatformLink;

  constructor(
    state: FakeVmListState,
    options: { domain: string; link: PlatformLink },
  ) {
    super();
    this.#state = state;
    this.#domain = options.domain;
    this.#link = options.link;
  }

  override fetchChanges(since: number): Promise<VmListing> {
    const { time, processId } = this.#link;
    return new Promise((resolve, reject) => {
      const isReachable = this.#link.isReachable();
      time.schedule(processId, 3, () => {
        if (!isReachable) return reject(new NotSentError("VM list down"));
        resolve(structuredClone(this.#state.list(this.#domain, since)));
      });
    });
  }

  override async close(): Promise<void> {}
}
