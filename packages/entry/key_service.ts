import {
  type Clock,
  MINUTE_MS,
  NotSentError,
  type Outcome,
} from "../base/mod.ts";
import type { ControlState } from "../control/mod.ts";
import {
  findHome,
  findKeyShard,
  type KeyBegin,
  KeyHome,
  type KeyState,
  type KeyTransfer,
  parseKey,
} from "../idempotency/mod.ts";
import type { Member, MembershipPlan } from "../membership/mod.ts";
import {
  NOT_OWNER_CODE,
  PEER_TIMEOUT_MS,
  type PeerClient,
  PeerRefusedError,
} from "../peers/mod.ts";
import {
  KEY_FINISH_TRIES,
  KEY_HOME_WAIT_MS,
  KEY_RETRY_MS,
} from "./constants.ts";

/**
 * Registers requests at the homes of their idempotency keys. The home of a key
 * is the entry that owns the key's shard and records the outcomes of requests
 * with that key. For the shards of its own entry, this service keeps these
 * records, and sends them to the next owner when a shard is handed over.
 */
export class KeyService {
  readonly home = new KeyHome();
  readonly #control: ControlState;
  readonly #client: PeerClient;
  readonly #clock: Clock;
  readonly #refresh: () => void;
  /**
   * Tenure of each owned shard: the time from which its key records are
   * complete, in milliseconds since the Unix epoch.
   */
  readonly #tenures = new Map<number, number>();
  /** Tenures received with key records, by transfer id and shard. */
  readonly #receivedTransfers = new Map<
    string,
    { tenure: number; expires: number }
  >();
  /** Incarnation to which the key records of a shard were sent, by shard. */
  readonly #recordsSentTo = new Map<number, string>();
  #settledDomains = "";
  #settledDomainsChangedAt = 0;

  constructor(
    options: {
      control: ControlState;
      client: PeerClient;
      clock: Clock;
      /** Starts a read of the shared records. */
      refresh: () => void;
    },
  ) {
    this.#control = options.control;
    this.#client = options.client;
    this.#clock = options.clock;
    this.#refresh = options.refresh;
  }

  /** Sets the shards that this entry owns. */
  setOwnedShards(owned: ReadonlySet<number>, now: number): void {
    for (const shard of [...this.#tenures.keys()]) {
      if (!owned.has(shard)) this.#tenures.delete(shard);
    }
    for (const shard of owned) {
      if (this.#tenures.has(shard)) continue;
      this.#tenures.set(shard, this.#findTenure(shard, now));
      this.#recordsSentTo.delete(shard);
    }
    this.#observeSettledDomains(now);
  }

  /**
   * Registers a request at the home of its key. Retries for up to
   * `KEY_HOME_WAIT_MS` if the home is unknown, refuses the call or cannot be
   * reached, as during a handover.
   *
   * @throws {NotSentError | UnknownEffectError | PeerRefusedError} if the home
   * cannot be reached
   */
  async begin(begin: KeyBegin): Promise<KeyState> {
    const retryUntil = this.#clock.now() + KEY_HOME_WAIT_MS;
    for (;;) {
      try {
        return await this.#beginOnce(begin);
      } catch (error) {
        const isRetryable = error instanceof PeerRefusedError ||
          error instanceof NotSentError;
        if (!isRetryable || this.#clock.now() >= retryUntil) throw error;
        this.#refresh();
        await this.#clock.sleep(KEY_RETRY_MS);
      }
    }
  }

  /**
   * Registers a request at this entry.
   *
   * @throws {PeerRefusedError} if this entry is not the home of the key
   */
  beginLocally(begin: KeyBegin): KeyState {
    const now = this.#clock.now();
    const { domain, shard } = this.#findHome(begin.key);
    const shardTenure = this.#tenures.get(shard);
    const isHome = domain === this.#control.domain &&
      shardTenure !== undefined &&
      !this.#recordsSentTo.has(shard);
    if (!isHome) {
      const message = "Cannot register the key: this entry is not its home";
      throw new PeerRefusedError(message, NOT_OWNER_CODE);
    }
    // The home of a key without a domain depends on the set of settled domains.
    // The records of such keys are therefore complete only since that set last
    // changed.
    const hasDomain = parseKey(begin.key)?.domain !== undefined;
    const tenure = hasDomain
      ? shardTenure
      : Math.max(shardTenure, this.#settledDomainsChangedAt);
    return this.home.begin(begin, { tenure, now });
  }

  /**
   * Reports the outcome of a request to the home of its key, with at most
   * `KEY_FINISH_TRIES` tries.
   */
  async finish(begin: KeyBegin, outcome: Outcome): Promise<void> {
    for (let tryNumber = 0; tryNumber < KEY_FINISH_TRIES; tryNumber++) {
      try {
        const owner = this.#findOwner(begin.key);
        const isSelf = owner.incarnation === this.#control.self.incarnation;
        if (isSelf) {
          return this.finishLocally(begin.key, begin.token, { outcome });
        }
        return await this.#sendFinish(owner, begin, { outcome });
      } catch {
        await this.#clock.sleep(KEY_RETRY_MS);
      }
    }
  }

  /**
   * Records an outcome at this entry, and forwards it if the records of the
   * key's shard were already sent to the next owner.
   */
  finishLocally(
    key: string,
    token: string,
    options: { outcome: Outcome },
  ): void {
    this.home.finish(key, token, options);
    const nextIncarnation = this.#recordsSentTo.get(findKeyShard(key));
    const nextOwner = nextIncarnation && this.#findMember(nextIncarnation);
    if (!nextOwner) return;
    const begin = { key, token } as KeyBegin;
    this.#sendFinish(nextOwner, begin, options).catch(() => {});
  }

  /**
   * Sends the key records of the shards that a plan releases to their next
   * owners. Sets `transfer` in the plan's record for each shard whose next
   * owner has received them.
   */
  async sendKeyRecords(plan: MembershipPlan): Promise<void> {
    for (const shard of plan.released) {
      const record = plan.record.shards[shard];
      const owner = record.owner && this.#findMember(record.owner);
      const tenure = this.#tenures.get(shard);
      if (!owner || tenure === undefined) continue;
      this.#recordsSentTo.set(shard, owner.incarnation);
      const id = plan.record.writer;
      const records = this.home.listShardRecords(shard);
      const transfers = [{ id, shard, tenure, records }];
      try {
        await this.#client.call(
          "key.adopt",
          { target: owner.incarnation, transfers },
          { address: owner.peers, timeoutMs: PEER_TIMEOUT_MS },
        );
        record.transfer = id;
      } catch {
        // Without `transfer`, the tenure of the next owner begins at the
        // handover: older keys that it has no record of are `Unknown` there.
      }
    }
  }

  /**
   * Makes this entry the home again for shards whose records it has sent but
   * which it still owns. Leaves out shards whose handover may have taken effect.
   */
  cancelTransfers(
    owned: ReadonlySet<number>,
    uncertain: ReadonlySet<number>,
  ): void {
    for (const shard of [...this.#recordsSentTo.keys()]) {
      if (!owned.has(shard) || uncertain.has(shard)) continue;
      this.#recordsSentTo.delete(shard);
    }
  }

  /** Adopts the key records of shards that will be handed over to this entry. */
  adopt(transfers: KeyTransfer[]): void {
    for (const { id, shard, tenure, records } of transfers) {
      const expires = this.#clock.now() + MINUTE_MS;
      this.#receivedTransfers.set(`${id} ${shard}`, { tenure, expires });
      this.home.adopt(records);
    }
  }

  /** Removes expired key records and transfers. */
  expire(now: number): void {
    this.home.expire(now);
    for (const [id, { expires }] of this.#receivedTransfers) {
      if (now >= expires) this.#receivedTransfers.delete(id);
    }
  }

  /**
   * Returns the tenure of a shard: 0 if the shard had no owner before, the
   * previous owner's tenure if that owner sent its records, and `now` otherwise.
   */
  #findTenure(shard: number, now: number): number {
    const record = this.#control.findDomain(this.#control.domain)
      ?.shards[shard];
    if (!record) return now;
    if (record.epoch === 1) return 0;
    return this.#receivedTransfers.get(`${record.transfer} ${shard}`)?.tenure ??
      now;
  }

  /** Records when the set of domains that may be homes of keys has changed. */
  #observeSettledDomains(now: number): void {
    const settledDomains = this.#control.listSettledDomains(now).sort().join();
    if (settledDomains === this.#settledDomains) return;
    this.#settledDomains = settledDomains;
    this.#settledDomainsChangedAt = now;
  }

  async #beginOnce(begin: KeyBegin): Promise<KeyState> {
    const owner = this.#findOwner(begin.key);
    if (owner.incarnation === this.#control.self.incarnation) {
      return this.beginLocally(begin);
    }
    return await this.#client.call(
      "key.begin",
      { target: owner.incarnation, begin },
      { address: owner.peers, timeoutMs: PEER_TIMEOUT_MS },
    );
  }

  async #sendFinish(
    owner: Member,
    begin: KeyBegin,
    options: { outcome: Outcome },
  ): Promise<void> {
    const { key, token } = begin;
    await this.#client.call(
      "key.finish",
      { target: owner.incarnation, key, token, outcome: options.outcome },
      { address: owner.peers, timeoutMs: PEER_TIMEOUT_MS },
    );
  }

  #findHome(keyText: string): { domain: string; shard: number } {
    const domains = this.#control.listSettledDomains(this.#clock.now());
    const key = parseKey(keyText)!;
    if (!key.domain && domains.length === 0) {
      throw new NotSentError(
        "Cannot find the home of the key: no failure domain is settled yet",
      );
    }
    return findHome(key, domains);
  }

  #findOwner(keyText: string): Member {
    const { domain, shard } = this.#findHome(keyText);
    const record = this.#control.findDomain(domain);
    const owner = record?.shards[shard].owner;
    const member = Object.values(record?.members ?? {}).find((candidate) =>
      candidate.incarnation === owner
    );
    if (member) return member;
    throw new NotSentError(
      "Cannot find the home of the key: no owner of its shard",
    );
  }

  #findMember(incarnation: string): Member | undefined {
    return this.#control.listMembers().find(({ member }) =>
      member.incarnation === incarnation
    )?.member;
  }
}
