import type { Outcome, Work } from "../base/mod.ts";
import type { Configuration, QueueConfig } from "../config/mod.ts";
import type { KeyBegin, KeyState } from "../idempotency/mod.ts";
import type { RoutedWork } from "../routing/mod.ts";

/** A request as received. */
export interface RawRequest {
  id: string;
  queue: string;
  authorization: string;
  idempotencyKey?: string;
  body: string;
  /** Arrival in milliseconds since the Unix epoch. */
  arrivedAt: number;
}

/** A request and what the filters have added to it so far. */
export interface RequestContext {
  raw: RawRequest;
  configuration: Configuration;
  queue?: QueueConfig;
  request?: WorkRequest;
  team?: string;
  work?: Work;
  routed?: RoutedWork;
  /** Called once the work has passed all checks and is sent to an owner. */
  onDispatched?: () => void;
  /** Reports the outcome to the home of the request's idempotency key. */
  finishKey?: (outcome: Outcome) => void;
}

/** The parsed body of a request. */
export interface WorkRequest {
  kind: Work["kind"];
  tasks: number;
  cores: number;
  memory_mb: number;
  accelerators: number;
  deadline?: string;
  timeout_ms?: number;
  idempotent: boolean;
  payload: unknown;
}

/** The capacity of all endpoints of the fleet. */
export interface FleetCapacity {
  /**
   * False while a shard has no owner or a peer is unreachable; no work is then
   * refused as too large for the fleet.
   */
  isKnown: boolean;
  /** Largest amount of each resource that any endpoint has. */
  largest: Work["size"];
  slots: number;
}

/** Operations of the entry that the filters use. */
export abstract class PipelineHost {
  /** Returns the configuration in force. */
  abstract getConfiguration(): Configuration;
  /** Returns the refusal if this entry cannot accept new work now. */
  abstract checkAdmission(now: number): Outcome | undefined;
  /** Returns the capacity of the fleet. */
  abstract measureFleetCapacity(now: number): FleetCapacity;
  /**
   * Registers a key at its home, the entry that records the outcomes of its
   * requests; rejects if the home cannot be reached.
   */
  abstract beginKey(begin: KeyBegin): Promise<KeyState>;
  /** Reports the outcome of a request to the home of its key. */
  abstract finishKey(begin: KeyBegin, outcome: Outcome): void;
  /** Sends work to owners and resolves with its outcome. */
  abstract route(routed: RoutedWork): Promise<Outcome>;
}
