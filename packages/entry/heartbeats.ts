import type { Clock } from "../base/mod.ts";
import { isNewerHead } from "../config/mod.ts";
import type { ControlState } from "../control/mod.ts";
import { EventCode, type EventLog } from "../events/mod.ts";
import {
  type Heartbeat,
  PEER_TIMEOUT_MS,
  type PeerClient,
} from "../peers/mod.ts";
import type { ConfigService } from "./config_service.ts";
import { REMOTE_HEARTBEAT_FACTOR } from "./constants.ts";
import type { PauseGuard } from "./pause_guard.ts";
import type { Peer, PeerTable } from "./peer_table.ts";

/** Exchanges heartbeats with peers and fetches their newer configuration. */
export class Heartbeats {
  readonly #control: ControlState;
  readonly #config: ConfigService;
  readonly #peers: PeerTable;
  readonly #client: PeerClient;
  readonly #pause: PauseGuard;
  readonly #clock: Clock;
  readonly #log: EventLog;
  readonly #describeSelf: () => Heartbeat;
  readonly #reachable = new Set<string>();
  #round = 0;

  constructor(
    options: {
      control: ControlState;
      config: ConfigService;
      peers: PeerTable;
      client: PeerClient;
      pause: PauseGuard;
      clock: Clock;
      log: EventLog;
      describeSelf: () => Heartbeat;
    },
  ) {
    this.#control = options.control;
    this.#config = options.config;
    this.#peers = options.peers;
    this.#client = options.client;
    this.#pause = options.pause;
    this.#clock = options.clock;
    this.#log = options.log;
    this.#describeSelf = options.describeSelf;
  }

  /**
   * Sends one round of heartbeats and logs which peers were lost or have
   * returned. In each pair of entries only the one with the lower incarnation
   * calls, because the answer carries the state of the other. Peers in other
   * failure domains are called less often.
   */
  sendRound(): void {
    this.#round += 1;
    const isRemoteTurn = this.#round % REMOTE_HEARTBEAT_FACTOR === 1;
    const ownIncarnation = this.#control.self.incarnation;
    for (const peer of this.#peers.list()) {
      const isRemote = peer.domain !== this.#control.domain;
      const isSkipped = isRemote && !isRemoteTurn;
      if (isSkipped || ownIncarnation > peer.member.incarnation) continue;
      void this.#send(peer);
    }
    this.#recordReachability();
  }

  /** Sends heartbeats to the given peers at once, outside of the rounds. */
  sendTo(incarnations: readonly string[]): void {
    for (const incarnation of incarnations) {
      const peer = this.#peers.get(incarnation);
      if (peer) void this.#send(peer);
    }
  }

  /** Records a peer's heartbeat and returns the heartbeat of this entry. */
  receive(heartbeat: Heartbeat): Heartbeat {
    this.#peers.observe(heartbeat, this.#clock.now());
    this.#fetchConfigIfNewer(heartbeat);
    return this.#describeSelf();
  }

  async #send(peer: Peer): Promise<void> {
    try {
      const answer = await this.#client.call(
        "peer.heartbeat",
        this.#describeSelf(),
        { address: peer.member.peers, timeoutMs: PEER_TIMEOUT_MS },
      );
      if (answer.incarnation !== peer.member.incarnation) return;
      this.#peers.observe(answer, this.#clock.now());
      this.#fetchConfigIfNewer(answer);
    } catch {
      // The peer becomes unreachable when its last contact is too old.
    }
  }

  #fetchConfigIfNewer(heartbeat: Heartbeat): void {
    const { head } = this.#config.state;
    if (!isNewerHead(heartbeat.head, head)) {
      this.#pause.notePeerConfig();
      return;
    }
    const peer = this.#peers.get(heartbeat.incarnation);
    if (peer) void this.#fetchConfig(peer, head.version);
  }

  async #fetchConfig(peer: Peer, have: number): Promise<void> {
    try {
      const update = await this.#client.call(
        "config.fetch",
        { have },
        { address: peer.member.peers, timeoutMs: PEER_TIMEOUT_MS },
      );
      if (this.#config.state.head.version === have) this.#config.adopt(update);
      this.#pause.notePeerConfig();
    } catch {
      // The next heartbeat retries the fetch.
    }
  }

  #recordReachability(): void {
    const now = this.#clock.now();
    for (const peer of this.#peers.list()) {
      const { incarnation } = peer.member;
      const isReachable = this.#peers.isReachable(peer, now);
      if (isReachable === this.#reachable.has(incarnation)) continue;
      if (isReachable) this.#reachable.add(incarnation);
      else this.#reachable.delete(incarnation);
      this.#log.record(
        isReachable ? EventCode.PeerReturned : EventCode.PeerLost,
        { incarnation },
      );
    }
  }
}
