import type { Link } from "../../packages/links/mod.ts";
import {
  LINK_TIMEOUT_MS,
  UNRESPONSIVE_RETENTION_MS,
} from "../../packages/links/mod.ts";
import { StoreFault } from "./memory_store.ts";
import { type OwnerEntry, OwnerSite } from "./owner_site.ts";

/** What has happened to an entry. */
export enum Trouble {
  None = "none",
  Dead = "dead",
  Frozen = "frozen",
  /** Cut off from all entries without this trouble, but not from the store. */
  CutOff = "cut_off",
  /** As `CutOff`, and from the store as well. */
  CutFromStore = "cut_from_store",
}

const NETWORK_STEP_MS = 50;

/** Entries with links to the owner, which go silent when one end has trouble. */
export class IsolationSite extends OwnerSite {
  readonly #troubles = new Map<string, Trouble>();
  /** When an owner and an entry heard of each other last, in ms, by their names. */
  readonly #heardAt = new Map<string, number>();
  readonly #unreachable = new Set<string>();

  constructor(
    seed: number,
    sizes: { entries: number; endpoints: number },
  ) {
    super(seed, sizes);
    this.#advanceNetwork();
  }

  /** Returns the entry that owns the cell and runs; `undefined`: none. */
  findOwner(): OwnerEntry | undefined {
    return this.entries.find((entry) => entry.role && this.#isRunning(entry));
  }

  /** Changes the trouble of an entry; a dead one stays dead. */
  setTrouble(entry: OwnerEntry, trouble: Trouble): void {
    const { name, store } = entry;
    if (this.time.isKilled(name)) return;
    this.#troubles.set(name, trouble);
    store.fault = trouble === Trouble.CutFromStore
      ? StoreFault.Timeout
      : StoreFault.None;
    if (trouble === Trouble.Dead) this.time.kill(name);
    if (trouble === Trouble.Frozen) this.time.freeze(name);
    else this.time.thaw(name);
  }

  /** Returns whether an entry runs and reaches the store. */
  canOwn(entry: OwnerEntry): boolean {
    const trouble = this.#troubles.get(entry.name);
    return this.#isRunning(entry) && trouble !== Trouble.CutFromStore;
  }

  /** Returns whether two entries are on the same side of a cut. */
  isSameSide(a: OwnerEntry, b: OwnerEntry): boolean {
    return this.#isCutOff(a) === this.#isCutOff(b);
  }

  override listLinks(owner: OwnerEntry): Link[] {
    return this.entries
      .filter((peer) => this.#measureSilence(owner, peer) <= LINK_TIMEOUT_MS)
      .map(({ name }) => ({ peer: name, measureIdleTime: () => 0 }) as Link);
  }

  override listUnresponsive(owner: OwnerEntry, since: number): string[] {
    return this.entries.filter((peer) => {
      const closedMs = this.#measureSilence(owner, peer) - LINK_TIMEOUT_MS;
      return closedMs > 0 && closedMs < UNRESPONSIVE_RETENTION_MS &&
        this.time.now - closedMs > since;
    }).map(({ name }) => name);
  }

  override isOwnerReachable(entry: OwnerEntry): boolean {
    const owner = this.#findFollowed(entry);
    return owner !== undefined &&
      this.#measureSilence(owner, entry) <= LINK_TIMEOUT_MS;
  }

  override isOwnerUnreachable(entry: OwnerEntry): boolean {
    const owner = this.#findFollowed(entry);
    if (!owner) return false;
    const followedMs = this.time.now - entry.followedAt;
    const silentMs = this.#measureSilence(owner, entry);
    return Math.min(followedMs, silentMs) > LINK_TIMEOUT_MS;
  }

  #findFollowed({ followed }: OwnerEntry): OwnerEntry | undefined {
    return this.entries.find(({ name }) => name === followed?.entry);
  }

  #isRunning({ name }: OwnerEntry): boolean {
    return !this.time.isKilled(name) && !this.time.isFrozen(name);
  }

  #isCutOff({ name }: OwnerEntry): boolean {
    const trouble = this.#troubles.get(name);
    return trouble === Trouble.CutOff || trouble === Trouble.CutFromStore;
  }

  /** Returns the time since two entries heard of each other, in ms; infinite: never. */
  #measureSilence(owner: OwnerEntry, peer: OwnerEntry): number {
    const heardAt = this.#heardAt.get(`${owner.name} ${peer.name}`);
    return heardAt === undefined
      ? Number.POSITIVE_INFINITY
      : this.time.now - heardAt;
  }

  #advanceNetwork(): void {
    this.time.schedule("network", NETWORK_STEP_MS, () => {
      for (const entry of this.entries) this.#advanceLink(entry);
      this.#advanceNetwork();
    });
  }

  #advanceLink(entry: OwnerEntry): void {
    const owner = this.#findFollowed(entry);
    if (!owner || owner === entry || !this.#isRunning(entry)) return;
    if (this.#isRunning(owner) && this.isSameSide(owner, entry)) {
      this.#heardAt.set(`${owner.name} ${entry.name}`, this.time.now);
    }
    const isUnreachable = this.isOwnerUnreachable(entry);
    const hasBecomeSo = isUnreachable && !this.#unreachable.has(entry.name);
    if (isUnreachable) this.#unreachable.add(entry.name);
    else this.#unreachable.delete(entry.name);
    if (hasBecomeSo) entry.election.checkOwner();
  }
}
