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

/** The endpoint, and which of its lifetimes, that an order is for. */
export interface EndpointTarget {
  id: string;
  address: string;
  /** Start of the lifetime, Unix milliseconds; 0 for any lifetime. */
  bornAt: number;
}

/** An order to start one run of a task. */
export interface StartRequest {
  task: string;
  run: number;
  payload: string;
  /** End of the lease on the endpoint's clock, in milliseconds. */
  leaseUntil: number;
  /** Fencing token of the owner. */
  fence: number;
  /** Checkpoint from which the run continues; empty if none. */
  checkpoint: string;
  /** Ticket of the policy service; empty if none. */
  ticket: string;
}

/**
 * A poll of an endpoint: reads its lists of running and ended runs, fences off
 * former owners, and renews its leases.
 */
export interface PollRequest {
  /** Fencing token of the owner. */
  fence: number;
  /**
   * Number of the last acknowledged end: the endpoint may delete ends up to it.
   */
  acknowledgedEnd: number;
  /** New end of all leases on the endpoint's clock; if absent, none changes. */
  leaseUntil?: number;
  /** How long the endpoint may delay its answer until a run ends, in ms. */
  waitMs: number;
}

/** Outcome of a poll. */
export enum PollResult {
  Listed = "listed",
  /** The endpoint has accepted the fencing token of a newer owner. */
  Deposed = "deposed",
  /** A different endpoint now answers at the address. */
  Replaced = "replaced",
}

/** Answer of an endpoint to a poll. */
export type PollAnswer =
  | { kind: PollResult.Listed; listing: EndpointListing }
  | { kind: PollResult.Deposed | PollResult.Replaced };

/** Outcome of a start order; `detail` is the endpoint's or an error text. */
export interface StartAnswer {
  result: StartResult;
  detail: string;
}

/** Outcome of a stop order; `detail` is the endpoint's or an error text. */
export interface StopAnswer {
  result: StopResult;
  detail: string;
}

/** Outcome of a pace order; `detail` is the endpoint's or an error text. */
export interface PaceAnswer {
  result: PaceResult;
  detail: string;
}

/** Sends orders and polls to endpoints. */
export abstract class EndpointControl {
  /** Orders an endpoint to start a run; never throws. */
  abstract start(
    target: EndpointTarget,
    order: StartRequest,
    options: { timeoutMs: number },
  ): Promise<StartAnswer>;

  /** Orders an endpoint to stop a run; never throws. */
  abstract stop(
    target: EndpointTarget,
    order: { task: string; run: number; fence: number },
    options: { timeoutMs: number },
  ): Promise<StopAnswer>;

  /**
   * Orders an endpoint to throttle a run to a percentage of its full pace;
   * never throws.
   */
  abstract setPace(
    target: EndpointTarget,
    order: { task: string; run: number; percent: number; fence: number },
    options: { timeoutMs: number },
  ): Promise<PaceAnswer>;

  /**
   * Reads an endpoint's lists of running and ended runs; renews its leases if
   * `request.leaseUntil` is set.
   *
   * @throws {NotSentError | UnknownEffectError} when no answer came
   */
  abstract poll(
    target: EndpointTarget,
    request: PollRequest,
    options: { timeoutMs: number },
  ): Promise<PollAnswer>;

  /** Closes all connections. */
  abstract close(): Promise<void>;
}

/** The policy service, which decides which endpoints may run a step. */
export abstract class AdviceService {
  /**
   * Asks which of the named endpoints may run a step.
   *
   * @throws {NotSentError | UnknownEffectError} when no answer came
   */
  abstract ask(
    query: {
      stage: string;
      endpoints: readonly string[];
      timeoutMs: number;
    },
  ): Promise<AdviceAnswer>;

  /** Closes all connections. */
  abstract close(): Promise<void>;
}

/** An order to begin the upkeep of a VM. */
export interface UpkeepOrder {
  vm: string;
  /** Number of the upkeep wave that the VM belongs to. */
  wave: number;
  /** Name of the entry that owns the cell. */
  owner: string;
  /** Fencing token of the owner. */
  fence: number;
}

/** Outcome of an upkeep order; `detail` is the platform's or an error text. */
export interface UpkeepAnswer {
  result: UpkeepResult;
  detail: string;
}

/** Progress of an upkeep wave, as reported to operators. */
export interface WaveReport {
  number: number;
  isCompleted: boolean;
}

/** The platform's service that lists and maintains the VMs of endpoints. */
export abstract class EndpointVms {
  /**
   * Lists all VMs.
   *
   * @throws {NotSentError | UnknownEffectError} when the list is incomplete
   */
  abstract list(options: { timeoutMs: number }): Promise<EndpointVm[]>;

  /** Orders the upkeep of a VM to begin; idempotent, never throws. */
  abstract beginUpkeep(
    order: UpkeepOrder,
    options: { timeoutMs: number },
  ): Promise<UpkeepAnswer>;

  /** Closes all connections. */
  abstract close(): Promise<void>;
}

/** Keys and formats of the records shared with operators and endpoints. */
export abstract class SiteRecords {
  /** Key of the configuration. */
  abstract readonly configKey: string;

  /** Prefix of the records in which endpoints describe themselves. */
  abstract readonly endpointPrefix: string;

  /**
   * Decodes a configuration.
   *
   * @throws {FormatError} when the text is not a configuration
   */
  abstract decodeConfig(text: string): SiteConfig;

  /** Prefix of the operators' requests for upkeep waves. */
  abstract readonly wavePrefix: string;

  /** Prefix of the reports on upkeep waves. */
  abstract readonly waveStatusPrefix: string;

  /**
   * Prefix of the requests to evacuate failure domains. The rest of a key names the
   * domain; the value has no meaning.
   */
  abstract readonly evacuationPrefix: string;

  /** Decodes a request for a wave; `undefined` if it is malformed. */
  abstract decodeWave(key: string, text: string): WaveRequest | undefined;

  /** Encodes the report on a wave, with its key. */
  abstract encodeWaveStatus(report: WaveReport): { key: string; value: string };

  /** Decodes the report on a wave; `undefined` if it is malformed. */
  abstract decodeWaveStatus(key: string, text: string): WaveReport | undefined;

  /**
   * Decodes an endpoint's record; `undefined` if the record is malformed or has
   * an unknown state.
   */
  abstract decodeEndpoint(key: string, text: string): EndpointInfo | undefined;
}
