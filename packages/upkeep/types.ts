/** An operator's request for the upkeep of a set of VMs. */
export interface WaveRequest {
  number: number;
  vms: string[];
  /** Time within which the whole wave should be done, in milliseconds. */
  durationMs: number;
  /** Maximum number of VMs of the wave that are down at the same time. */
  maxDown: number;
}

/** State of a VM that runs an endpoint, as listed by the platform. */
export interface EndpointVm {
  name: string;
  /** The VM is up and runs its endpoint. */
  isUp: boolean;
  /** Id of the VM's endpoint; after an upkeep it may be another one. */
  endpoint: string;
}

/** Phases of the upkeep of one VM. */
export enum UpkeepPhase {
  Waiting = "waiting",
  /** The endpoint gets no new work; its runs end or are stopped. */
  Draining = "emptying",
  /** The endpoint is empty; the upkeep is recorded before it is ordered. */
  Recording = "recording",
  /**
   * The upkeep is recorded and may have begun: the VM counts as down until the
   * platform lists it as up again. It is ordered while its endpoint is empty.
   */
  Ordered = "ordered",
  /** The platform has confirmed that the upkeep has begun. */
  Begun = "begun",
  /** The VM is up again, no longer exists or does not belong to the wave. */
  Done = "done",
}

/** State of the upkeep of one VM of a wave. */
export interface VmUpkeep {
  vm: string;
  phase: UpkeepPhase;
  /** When the phase began, on this process's steady clock, in ms. */
  phaseBeganAt: number;
  /** Id of the endpoint that ran on the VM before its upkeep. */
  formerEndpoint: string;
  /** An upkeep order for this VM is in flight. */
  isCallInFlight: boolean;
  /** Earliest time at which the upkeep order is sent again. */
  retryAt: number;
}

/** A wave and its progress. Times: this process's steady clock, in ms. */
export interface Wave {
  request: WaveRequest;
  upkeeps: Map<string, VmUpkeep>;
}

/** Input of `planWave`. Times: this process's steady clock, in ms. */
export interface WaveView {
  now: number;
  /** VMs of the platform's latest list, by name. */
  vms: ReadonlyMap<string, EndpointVm>;
  /** When `vms` was requested from the platform. */
  listRequestedAt: number;
  /** VMs whose upkeep is in progress in another wave. */
  busyElsewhere: ReadonlySet<string>;
  /** Returns whether an endpoint has no runs left. */
  isEmpty: (endpoint: string) => boolean;
}

/** Actions that the host carries out for a wave, and the wave's progress. */
export interface WavePlan {
  /** Endpoints to cordon until a later plan of the wave omits them. */
  cordonedEndpoints: string[];
  /** Endpoints whose runs are stopped, within the disruption budgets. */
  endpointsToStop: string[];
  /** Upkeeps to record in the store; they are ordered afterwards. */
  upkeepsToRecord: VmUpkeep[];
  /** Upkeeps to order, for the first time or again. */
  upkeepsToOrder: VmUpkeep[];
  /** Every VM has begun its upkeep, or no longer belongs to the wave. */
  isCompleted: boolean;
  /** Every VM is up again, or no longer belongs to the wave. */
  isOver: boolean;
}

/** Results of an upkeep order, which begins the upkeep of one VM. */
export enum UpkeepResult {
  /** The upkeep has begun, by this order or an earlier one. */
  Begun = "begun",
  /** The VM is not up, or is leaving. */
  Busy = "busy",
  /** The VM does not exist or does not belong to this wave. */
  NotPartOf = "not_part_of",
  /** A newer owner has sent orders: the order's fencing token is stale. */
  Deposed = "deposed",
  /** The platform received too many calls; the order had no effect. */
  Limited = "limited",
  /** No usable answer: the upkeep may have begun. */
  Unknown = "unknown",
}
