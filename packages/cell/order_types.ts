import type { Run, Stage } from "./types.ts";

/** Kinds of orders that the cell issues. */
export enum OrderKind {
  Start = "start",
  /** As `Start`, for a run whose placement is committed and that was sent before. */
  RepeatStart = "repeat_start",
  Stop = "stop",
  Pace = "pace",
  AskAdvice = "ask_advice",
}

/** An order that the cell's host has to carry out. */
export type Order =
  | StartOrder
  | { kind: OrderKind.RepeatStart; start: StartOrder }
  | { kind: OrderKind.Stop; run: Run }
  | { kind: OrderKind.Pace; run: Run; percent: number }
  | {
    kind: OrderKind.AskAdvice;
    stage: Stage;
    endpoints: string[];
    /** Predicted duration of the call, in milliseconds. */
    costMs: number;
  };

/** An order to start a run; sent after the placement is committed. */
export interface StartOrder {
  kind: OrderKind.Start;
  run: Run;
  payload: string;
  checkpoint: string;
  ticket: string;
  /** The order must be sent before this time. */
  ticketEndsAt: number;
}

/** Result of a start order. */
export enum StartResult {
  Started = "started",
  /** The endpoint has accepted the fencing token of a newer owner. */
  Deposed = "deposed",
  /** It has accepted a higher token of the same owner: the order had no effect. */
  Superseded = "superseded",
  /** The endpoint has seen this run number of the task, or a higher one. */
  OldRun = "old_run",
  /** The lease had ended when the order arrived. */
  LateOrder = "late_order",
  NoRoom = "no_room",
  TicketExpired = "ticket_expired",
  OtherLifetime = "other_lifetime",
  BadRequest = "bad_request",
  /**
   * The order was not sent, or the endpoint cannot start the run at present:
   * the order had no effect.
   */
  Unavailable = "unavailable",
  /** No answer: the task may be running. */
  Unknown = "unknown",
}

/** Result of a stop order. */
export enum StopResult {
  Acknowledged = "acknowledged",
  Deposed = "deposed",
  OtherLifetime = "other_lifetime",
  Unknown = "unknown",
}

/** Result of a pace order, which changes the speed of a run. */
export enum PaceResult {
  Acknowledged = "acknowledged",
  Deposed = "deposed",
  /** The run does not exist, or the endpoint takes no orders now. */
  Refused = "refused",
  Unknown = "unknown",
}

/** Answer of the policy service: tickets, and how long they stay valid. */
export interface AdviceAnswer {
  tickets: { endpoint: string; ticket: string }[];
  validMs: number;
}

/** Decision on a submitted job. */
export enum Admission {
  Accepted = "accepted",
  /** A job with this id was accepted before. */
  Known = "known",
  /** The job can't be served and never runs. */
  Refused = "refused",
  /** Another organisation has a job with this id: this one can't be stored. */
  IdTaken = "id_taken",
  /** The entry that was asked does not own the cell, or not yet. */
  NotOwner = "not_owner",
  /** The job can't be stored now; it never runs. */
  StoreStalled = "store_stalled",
}

/** Decision on a submitted job, with the reason and a delay for a retry. */
export interface AdmissionOutcome {
  admission: Admission;
  reason: string;
  retryAfterMs?: number;
  /** Predicted median run time of an accepted job, in milliseconds. */
  expectedMs?: number;
}
