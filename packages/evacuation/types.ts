import type { MoveVerdict } from "./moves.ts";

/** Where a request for an evacuation is stored. */
export enum EvacuationSource {
  /** The platform's record, which entries may only read. */
  Platform = "platform",
  /** The product's own record, written on an operator's request. */
  Operations = "operations",
}

/** One stored request that nothing be started in a failure domain. */
export interface EvacuationRequest {
  domain: string;
  source: EvacuationSource;
  /** Revision of the store at which the request was written last. */
  revision: number;
}

/** A failure domain in which nothing is started. Times: steady clock, in ms. */
export interface DomainEvacuation {
  domain: string;
  sources: EvacuationSource[];
  /** Newest revision of its requests. */
  revision: number;
  /** When this owner learned of the newest request. */
  requestedAt: number;
  /** No start that was decided before the request can be carried out any more. */
  isEffective: boolean;
}

/** Evacuations that an owner knows, and what it remembers of the runs there. */
export interface EvacuationState {
  /** Evacuated domains, by name. */
  domains: Map<string, DomainEvacuation>;
  /** Runs there at the last plan, by task and run number. */
  runs: Map<string, KnownRun>;
}

/** What is remembered of a run in an evacuated domain. */
export interface KnownRun {
  /** Newest checkpoint; empty: none. */
  checkpoint: string;
  verdict: MoveVerdict;
}

/** A run that is still in an evacuated domain, as shown to operators. */
export interface RemainingRun {
  task: string;
  run: number;
  endpoint: string;
  phase: string;
  /** Why it is still there; absent: it belongs to no task that goes on. */
  verdict?: MoveVerdict;
}

/** The evacuation of a domain, as shown to operators. */
export interface EvacuationReport {
  domain: string;
  sources: EvacuationSource[];
  /** Time since this owner learned of the request, in milliseconds. */
  ageMs: number;
  isEffective: boolean;
  /** Number of listed endpoints of the domain; 0: its name may be wrong. */
  endpoints: number;
  runs: RemainingRun[];
  /** Tasks that a former owner placed there and that no endpoint has listed yet. */
  unlocated: number;
}

/** Kinds of changes to the evacuation of a domain. */
export enum EvacuationChangeKind {
  Requested = "requested",
  /** No start that was decided before the request can be carried out any more. */
  Effective = "effective",
  Withdrawn = "withdrawn",
}

/** A change to the evacuation of a domain. */
export interface EvacuationChange {
  kind: EvacuationChangeKind;
  evacuation: DomainEvacuation;
}
