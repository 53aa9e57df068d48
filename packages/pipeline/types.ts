import type { Outcome, Work } from "../base/mod.ts";
import type { Configuration, QueueConfig } from "../config/mod.ts";
import type { KeyBegin, KeyStanding } from "../idempotency/mod.ts";
import type { RoutedWork } from "../routing/mod.ts";

/** A request as it came in. */
export interface RawRequest {
  id: string;
  queue: string;
  authorization: string;
  idempotencyKey?: string;
  body: string;
  /** Arrival in milliseconds since the Unix epoch. */
  arrivedAt: number;
}

/** A request on its way through the filters. */
export interface RequestContext {
  raw: RawRequest;
  configuration: Configuration;
  queue?: QueueConfig;
  form?: WorkForm;
  team?: string;
  work?: Work;
  routed?: RoutedWork;
  /** Frees or completes the idempotency key with the outcome. */
  finishKey?: (outcome: Outcome) => void;
}

/** The body of a request, checked for its form. */
export interface WorkForm {
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

/** What the fleet can hold at most, as far as it is known. */
export interface FleetCapacity {
  /** False while too little is known to call anything impossible. */
  isKnown: boolean;
  largest: Work["size"];
  slots: number;
}

/** What the filters need of the entry. */
export abstract class PipelineHost {
  /** Configuration in force. */
  abstract getConfiguration(): Configuration;
  /** Why new work cannot be taken now, if so. */
  abstract findObstacle(now: number): Outcome | undefined;
  /** What the fleet can hold. */
  abstract measureFleet(now: number): FleetCapacity;
  /** Registers a key at its home; rejects when the home is not reached. */
  abstract beginKey(begin: KeyBegin): Promise<KeyStanding>;
  /** Tells the home of a key how its request ended. */
  abstract finishKey(begin: KeyBegin, outcome: Outcome): void;
  /** Sends work to owners. */
  abstract route(routed: RoutedWork): Promise<Outcome>;
}
