import type { Outcome, Size } from "../base/mod.ts";
import type { ConfigHead, ConfigUpdate } from "../config/mod.ts";
import type { Attempt, HoldRequest } from "../engine/mod.ts";
import type { KeyBegin, KeyStanding, KeyTransfer } from "../idempotency/mod.ts";

/** What an entry tells its peers about itself. */
export interface Heartbeat {
  incarnation: string;
  head: ConfigHead;
  /** Newest version whose limits this entry knows to be in force. */
  confirmed: number;
  draining: boolean;
  load: OwnerLoad;
}

/** How much an owner can take. */
export interface OwnerLoad {
  /** Endpoints that take work now. */
  endpoints: number;
  /** Slots of all owned endpoints. */
  slots: number;
  freeSlots: number;
  waiting: number;
  /** Teams whose work waits here for a grant, not for a slot. */
  blocked: string[];
  /** Largest task that any owned endpoint could hold. */
  largest: Size;
}

/** Methods between entries: parameters and results. */
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
    params: { target: string; request: HoldRequest };
    result: number;
  };
  "gang.release": { params: { target: string; hold: string }; result: null };
  "key.begin": {
    params: { target: string; begin: KeyBegin };
    result: KeyStanding;
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

/** What a caller may see of its work. */
export interface WorkView {
  id: string;
  state: WorkState;
  outcome?: Outcome;
}

/** Whether work has its outcome. */
export enum WorkState {
  Pending = "pending",
  Finished = "finished",
}

/** Names of the methods between entries. */
export type PeerMethod = keyof PeerMethods;
