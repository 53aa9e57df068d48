import type { Member } from "../membership/mod.ts";
import type { Heartbeat, OwnerLoad } from "../peers/mod.ts";
import type { StandingTest } from "./config_service.ts";

/** One other entry, as this entry knows it. */
export interface Peer {
  domain: string;
  member: Member;
  /** Last answer or call, in milliseconds since the Unix epoch; 0 for none. */
  heardAt: number;
  heartbeat?: Heartbeat;
}

/** The other entries and what they last told. */
export class PeerTable {
  readonly #lostAfterMs: (domain: string) => number;
  readonly #peers = new Map<string, Peer>();

  /** `lostAfterMs` tells how long the peers of a domain may stay silent. */
  constructor(lostAfterMs: (domain: string) => number) {
    this.#lostAfterMs = lostAfterMs;
  }

  /** Adopts the members of all failure domains. */
  setMembers(members: { domain: string; member: Member }[]): void {
    const known = new Set(members.map(({ member }) => member.incarnation));
    for (const id of [...this.#peers.keys()]) {
      if (!known.has(id)) this.#peers.delete(id);
    }
    for (const { domain, member } of members) {
      const peer = this.#peers.get(member.incarnation);
      if (peer) continue;
      this.#peers.set(member.incarnation, { domain, member, heardAt: 0 });
    }
  }

  /** Notes a heartbeat. */
  observe(heartbeat: Heartbeat, now: number): void {
    const peer = this.#peers.get(heartbeat.incarnation);
    if (!peer) return;
    peer.heardAt = now;
    peer.heartbeat = heartbeat;
  }

  /** Returns a peer. */
  get(incarnation: string): Peer | undefined {
    return this.#peers.get(incarnation);
  }

  /** Lists all peers. */
  list(): Peer[] {
    return [...this.#peers.values()];
  }

  /** Lists the peers that were heard from recently. */
  listReachable(now: number): Peer[] {
    return this.list().filter((peer) => this.isReachable(peer, now));
  }

  /** Tells whether a peer was heard from recently. */
  isReachable(peer: Peer, now: number): boolean {
    return now - peer.heardAt <= this.#lostAfterMs(peer.domain);
  }

  /**
   * Lists the peers that new work may be sent to: work at a peer that has just
   * fallen silent would wait until its deadline, so they are left out sooner.
   */
  listRoutable(now: number): Peer[] {
    return this.list().filter((peer) =>
      (now - peer.heardAt) * 2 <= this.#lostAfterMs(peer.domain)
    );
  }

  /** Lists the peers that are not far enough with the configuration. */
  listUnconfirmed(isDone: StandingTest): string[] {
    return this.list()
      .filter(({ heartbeat }) => !heartbeat || !isDone(heartbeat))
      .map((peer) => peer.member.incarnation);
  }

  /** Notes room taken on a peer since its last heartbeat. */
  noteForward(incarnation: string): void {
    const load = this.#peers.get(incarnation)?.heartbeat?.load;
    if (!load) return;
    if (load.freeSlots > 0) load.freeSlots -= 1;
    else load.waiting += 1;
  }

  /** Returns what a peer last said of its load. */
  findLoad(incarnation: string): OwnerLoad | undefined {
    return this.#peers.get(incarnation)?.heartbeat?.load;
  }
}
