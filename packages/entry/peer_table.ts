import type { Member } from "../membership/mod.ts";
import type { Heartbeat, OwnerLoad } from "../peers/mod.ts";
import type { ConfigProgressTest } from "./config_service.ts";

/** Another entry with its last heartbeat. */
export interface Peer {
  domain: string;
  member: Member;
  /** Time of the last heartbeat, in ms since the Unix epoch; 0 for none. */
  lastContactAt: number;
  heartbeat?: Heartbeat;
}

/** The other entries of all failure domains and their last heartbeats. */
export class PeerTable {
  readonly #lostAfterMs: (domain: string) => number;
  readonly #peers = new Map<string, Peer>();

  /**
   * `lostAfterMs` returns the time without contact after which the peers of a
   * failure domain count as unreachable, in milliseconds.
   */
  constructor(lostAfterMs: (domain: string) => number) {
    this.#lostAfterMs = lostAfterMs;
  }

  /** Sets the members of all failure domains, without this entry. */
  setMembers(members: { domain: string; member: Member }[]): void {
    const memberIncarnations = new Set(
      members.map(({ member }) => member.incarnation),
    );
    for (const id of [...this.#peers.keys()]) {
      if (!memberIncarnations.has(id)) this.#peers.delete(id);
    }
    for (const { domain, member } of members) {
      const peer = this.#peers.get(member.incarnation);
      if (peer) continue;
      this.#peers.set(member.incarnation, { domain, member, lastContactAt: 0 });
    }
  }

  /** Records the heartbeat of a peer; ignores unknown incarnations. */
  observe(heartbeat: Heartbeat, now: number): void {
    const peer = this.#peers.get(heartbeat.incarnation);
    if (!peer) return;
    peer.lastContactAt = now;
    peer.heartbeat = heartbeat;
  }

  /** Returns the peer with the given incarnation. */
  get(incarnation: string): Peer | undefined {
    return this.#peers.get(incarnation);
  }

  /** Lists all peers. */
  list(): Peer[] {
    return [...this.#peers.values()];
  }

  /** Lists the reachable peers. */
  listReachable(now: number): Peer[] {
    return this.list().filter((peer) => this.isReachable(peer, now));
  }

  /** Returns whether the last contact with a peer is recent enough. */
  isReachable(peer: Peer, now: number): boolean {
    return now - peer.lastContactAt <= this.#lostAfterMs(peer.domain);
  }

  /**
   * Lists the peers that new work may be sent to. A peer is left out after half
   * the time after which it counts as unreachable, because work forwarded to a
   * peer that has just failed would wait until its deadline.
   */
  listRoutable(now: number): Peer[] {
    return this.list().filter((peer) =>
      (now - peer.lastContactAt) * 2 <= this.#lostAfterMs(peer.domain)
    );
  }

  /** Lists the incarnations of the peers without the required progress. */
  listUnconfirmed(hasReached: ConfigProgressTest): string[] {
    return this.list()
      .filter(({ heartbeat }) => !heartbeat || !hasReached(heartbeat))
      .map((peer) => peer.member.incarnation);
  }

  /**
   * Adds forwarded work to the last known load of a peer. The next heartbeat of
   * the peer replaces this estimate.
   */
  noteForwardedWork(incarnation: string): void {
    const load = this.#peers.get(incarnation)?.heartbeat?.load;
    if (!load) return;
    if (load.freeSlots > 0) load.freeSlots -= 1;
    else load.waiting += 1;
  }

  /** Returns the last known load of a peer. */
  findLoad(incarnation: string): OwnerLoad | undefined {
    return this.#peers.get(incarnation)?.heartbeat?.load;
  }
}
