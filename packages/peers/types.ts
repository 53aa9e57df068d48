import type { Outcome, Size } from "../base/mod.ts";
import type { ConfigHead, ConfigUpdate } from "../config/mod.ts";
import type { Attempt, ReservationRequest } from "../engine/mod.ts";
import type { KeyBegin, KeyState, KeyTransfer } from "../idempotency/mod.ts";

/** The state that an entry reports to its peers. */
export interface Heartbeat {
  incarnation: string;
  head: ConfigHead;
  /** Newest version whose restrictions are in force at this entry. */
  confirmed: number;
  draining: boolean;
  load: OwnerLoad;
}

/** Load and free capacity of the endpoints that an entry owns. */
export interface OwnerLoad {
  /** Number of endpoints that can start a task now. */
  endpoints: number;
  /** Number of slots of all owned endpoints. */
  slots: number;
  /** Number of free slots of the endpoints that can start a task now. */
  freeSlots: number;
  /** Number of attempts in the queue. */
  waiting: number;
  /** Teams with queued work that have no grant left at this owner. */
  blocked: string[];
  /** Largest amount of each resource that any owned endpoint has. */
  largest: Size;
}

/**
 * Parameters and results of the JSON-RPC methods between entries. `target` is
 * the incarnation that the call is meant for, `have` the configuration version
 * that the caller already has, `expires` the deadline of an attempt in
 * milliseconds since the Unix epoch, and `hold` the id of a gang reservation.
 */
export interface PeerMethods {
  "peer.heartbeat": { params: Heartbeat; result: Heartbeat };
  "config.fetch": { params: { have: number }; result: ConfigUpdate };
  "attempt.run": {
    params: { target: string; attempt: Attempt };
    result: Outcome;
  };
  "attempt.settle": {
    params: { target: string; attempt: string; expires: number };
    result: Outcome | null;
  };
  "attempt.cancel": {
    params: { target: string; attempt: string; expires: number };
    result: null;
  };
  "gang.reserve": {
    params: { target: string; request: ReservationRequest };
    result: number;
  };
  "gang.release": { params: { target: string; hold: string }; result: null };
  "key.begin": {
    params: { target: string; begin: KeyBegin };
    result: KeyState;
  };
  "key.finish": {
    params: { target: string; key: string; token: string; outcome: Outcome };
    result: null;
  };
  "key.adopt": {
    params: { target: string; transfers: KeyTransfer[] };
    result: null;
  };
  "work.find": {
    params: { target: string; id: string; team: string };
    result: WorkView | null;
  };
  "work.cancel": {
    params: { target: string; id: string; team: string };
    result: WorkView | null;
  };
}

/** State of a piece of work, as reported to its caller. */
export interface WorkView {
  id: string;
  state: WorkState;
  outcome?: Outcome;
}

/** Whether a piece of work has an outcome. */
export enum WorkState {
  Pending = "pending",
  Finished = "finished",
}

/** Name of a JSON-RPC method between entries. */
export type PeerMethod = keyof PeerMethods;
