import type {
  AdviceAnswer,
  EndpointInfo,
  EndpointListing,
  PaceResult,
  StartResult,
  StopResult,
} from "../cell/mod.ts";
import type { EndpointVm, UpkeepResult, WaveRequest } from "../upkeep/mod.ts";
import type { SiteConfig } from "./types.ts";

/** One lifetime of an endpoint and its address. */
export interface EndpointTarget {
  id: string;
  address: string;
  /** Start of the lifetime, Unix milliseconds; 0: any. */
  bornAt: number;
}

/** An order to start a run. */
export interface StartOrder {
  task: string;
  run: number;
  payload: string;
  /** End of the lease on the endpoint's clock, in milliseconds. */
  leaseUntil: number;
  fence: number;
  saved: string;
  ticket: string;
}

/** A request for an endpoint's lists; it claims the endpoint for a fence. */
export interface HoldOrder {
  fence: number;
  /** Ends up to this number may be forgotten. */
  notedEnd: number;
  /** End of all leases on the endpoint's clock; none: leave them. */
  leaseUntil?: number;
  /** The answer may wait this long for an end, in milliseconds. */
  waitMs: number;
}

/** What came of a request for an endpoint's lists. */
export enum HoldResult {
  Listed = "listed",
  /** The endpoint serves a newer owner. */
  Deposed = "deposed",
  /** Another endpoint answers at the address. */
  Replaced = "replaced",
}

/** How an endpoint answered a request for its lists. */
export type HoldAnswer =
  | { kind: HoldResult.Listed; listing: EndpointListing }
  | { kind: HoldResult.Deposed | HoldResult.Replaced };

/** How an endpoint answered an order to start, and what it or the way said. */
export interface StartAnswer {
  result: StartResult;
  detail: string;
}

/** How an endpoint answered an order to stop, and what it or the way said. */
export interface StopAnswer {
  result: StopResult;
  detail: string;
}

/** How an endpoint answered a change of pace, and what it or the way said. */
export interface PaceAnswer {
  result: PaceResult;
  detail: string;
}

/** Orders to endpoints. */
export abstract class EndpointControl {
  /** Orders a start; never throws. */
  abstract start(
    target: EndpointTarget,
    order: StartOrder,
    options: { timeoutMs: number },
  ): Promise<StartAnswer>;

  /** Orders a stop; never throws. */
  abstract stop(
    target: EndpointTarget,
    order: { task: string; run: number; fence: number },
    options: { timeoutMs: number },
  ): Promise<StopAnswer>;

  /** Sets the share of its work that a run may do, in percent; never throws. */
  abstract setPace(
    target: EndpointTarget,
    order: { task: string; run: number; percent: number; fence: number },
    options: { timeoutMs: number },
  ): Promise<PaceAnswer>;

  /**
   * Asks for the lists of runs and ends, and prolongs leases.
   *
   * @throws {NotSentError | UnknownEffectError} when no answer came
   */
  abstract poll(
    target: EndpointTarget,
    order: HoldOrder,
    options: { timeoutMs: number },
  ): Promise<HoldAnswer>;

  /** Frees all connections. */
  abstract close(): Promise<void>;
}

/** The policy service that names the endpoints that may run a step. */
export abstract class AdviceService {
  /**
   * Asks about some endpoints.
   *
   * @throws {NotSentError | UnknownEffectError} when no answer came
   */
  abstract ask(
    question: {
      stage: string;
      endpoints: readonly string[];
      timeoutMs: number;
    },
  ): Promise<AdviceAnswer>;

  /** Frees the connections. */
  abstract close(): Promise<void>;
}

/** An order to a VM to begin its upkeep. */
export interface UpkeepOrder {
  vm: string;
  /** Number of the wave that it belongs to. */
  wave: number;
  /** Name of the entry that gives the order. */
  holder: string;
  fence: number;
}

/** How the platform answered such an order, and what it or the way said. */
export interface UpkeepAnswer {
  result: UpkeepResult;
  detail: string;
}

/** How far a wave of upkeep is, as operators are told. */
export interface WaveReport {
  number: number;
  isCompleted: boolean;
}

/** The platform's service for the VMs of endpoints. */
export abstract class EndpointVms {
  /**
   * Lists all VMs.
   *
   * @throws {NotSentError | UnknownEffectError} when no whole answer came
   */
  abstract list(options: { timeoutMs: number }): Promise<EndpointVm[]>;

  /** Orders a VM to begin its upkeep, now or earlier; never throws. */
  abstract beginUpkeep(
    order: UpkeepOrder,
    options: { timeoutMs: number },
  ): Promise<UpkeepAnswer>;

  /** Frees the connections. */
  abstract close(): Promise<void>;
}

/** What operators and endpoints keep in the store, and how it is read. */
export abstract class SiteRecords {
  /** Key of the operators' configuration. */
  abstract readonly configKey: string;

  /** Prefix of the endpoints' own records. */
  abstract readonly endpointPrefix: string;

  /**
   * Reads a configuration.
   *
   * @throws {FormatError} when it is none
   */
  abstract decodeConfig(text: string): SiteConfig;

  /** Prefix of the operators' requests for waves of upkeep. */
  abstract readonly wavePrefix: string;

  /** Prefix of the reports on waves. */
  abstract readonly waveStatusPrefix: string;

  /** Reads a request for a wave; nothing when it is none. */
  abstract decodeWave(key: string, text: string): WaveRequest | undefined;

  /** Writes the report on a wave. */
  abstract encodeWaveStatus(report: WaveReport): { key: string; value: string };

  /** Reads the report on a wave; nothing when it is none. */
  abstract decodeWaveStatus(key: string, text: string): WaveReport | undefined;

  /** Reads an endpoint's record; nothing when it names no endpoint to use. */
  abstract decodeEndpoint(key: string, text: string): EndpointInfo | undefined;
}
