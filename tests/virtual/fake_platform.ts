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

/** Faults of the platform. */
export interface StoreFaults {
  down: boolean;
  slowMs: number;
  /** Commits to come whose answers are lost after they took effect. */
  loseAnswers: number;
  /** Commits to come that take effect only after their caller gave up. */
  lateEffects: number;
}

/** The contents of the store, shared by all processes. */
export class FakeStoreState {
  readonly values = new Map<string, { value: string; modRevision: number }>();
  readonly faults: StoreFaults = {
    down: false,
    slowMs: 0,
    loseAnswers: 0,
    lateEffects: 0,
  };
  revision = 1;
  calls = 0;

  /** Returns a copy of all values below a prefix. */
  copyValues(prefix: string): Map<string, string> {
    return new Map(
      [...this.values].flatMap(([key, { value }]) =>
        key.startsWith(prefix) ? [[key, value] as const] : []
      ),
    );
  }

  /** Puts older values back. */
  restore(values: Map<string, string>): void {
    this.revision += 1;
    for (const [key, value] of values) {
      this.values.set(key, { value, modRevision: this.revision });
    }
  }

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

/** One process's access to the store. */
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
    if (faults.lateEffects > 0 && this.#link.isUp()) {
      faults.lateEffects -= 1;
      return this.#commitLate(commit);
    }
    return this.#call(() => {
      const result = this.#state.commit(commit);
      if (faults.loseAnswers === 0) return result;
      faults.loseAnswers -= 1;
      throw new UnknownEffectError("answer lost");
    });
  }

  override async close(): Promise<void> {}

  #call<T>(run: () => T): Promise<T> {
    const { time, lane, random } = this.#link;
    const { faults } = this.#state;
    this.#state.calls += 1;
    return new Promise((resolve, reject) => {
      if (faults.down || !this.#link.isUp()) {
        time.schedule(lane, 5, () => reject(new NotSentError("store down")));
        return;
      }
      const delay = 1 + random.drawInt(3) + faults.slowMs;
      // A process may be frozen or end before its call leaves.
      const send = (arrive: () => void) =>
        time.schedule(lane, 1, () => time.schedule("platform", delay, arrive));
      send(() => {
        let outcome: () => void;
        try {
          const result = structuredClone(run());
          outcome = () => resolve(result);
        } catch (error) {
          outcome = () => reject(error);
        }
        time.schedule(lane, 1, outcome);
      });
    });
  }

  #commitLate(commit: StoreCommit): Promise<CommitResult> {
    const { time, lane, random } = this.#link;
    const delay = CALL_TIMEOUT_MS + random.drawInt(2_000);
    time.schedule("platform", delay, () => this.#state.commit(commit));
    return new Promise((_, reject) => {
      const error = new UnknownEffectError("timeout");
      time.schedule(lane, CALL_TIMEOUT_MS, () => reject(error));
    });
  }
}

/** How one process reaches the platform. */
export interface PlatformLink {
  time: VirtualTime;
  lane: string;
  random: Random;
  isUp: () => boolean;
}

/** The VM list of all failure domains, with a lag. */
export class FakeVmListState {
  readonly vms = new Map<string, Vm & { revision: number }>();
  readonly removed = new Map<string, { domain: string; revision: number }>();
  revision = 1;

  add(vm: Vm): void {
    this.revision += 1;
    this.removed.delete(vm.id);
    this.vms.set(vm.id, { ...vm, revision: this.revision });
  }

  remove(id: string): void {
    const vm = this.vms.get(id);
    if (!vm) return;
    this.revision += 1;
    this.vms.delete(id);
    this.removed.set(id, { domain: vm.domain, revision: this.revision });
  }

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

/** One process's access to the VM list. */
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
    const { time, lane } = this.#link;
    return new Promise((resolve, reject) => {
      const isUp = this.#link.isUp();
      time.schedule(lane, 3, () => {
        if (!isUp) return reject(new NotSentError("VM list down"));
        resolve(structuredClone(this.#state.list(this.#domain, since)));
      });
    });
  }

  override async close(): Promise<void> {}
}
