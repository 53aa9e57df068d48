/** A request of the operators: each of these VMs has its upkeep in time. */
export interface WaveRequest {
  number: number;
  vms: string[];
  /** Time in which all of it should be done, in milliseconds. */
  durationMs: number;
  /** Most VMs of the wave that may be down for it at once. */
  maxDown: number;
}

/** What the platform says of a VM of endpoints. */
export interface EndpointVm {
  name: string;
  /** It runs its endpoint. */
  isUp: boolean;
  /** Id of its endpoint; a new one after each upkeep. */
  endpoint: string;
}

/** How far a VM is with its upkeep. */
export enum UpkeepPhase {
  Waiting = "waiting",
  /** Its endpoint gets no new work, and what runs there ends. */
  Emptying = "emptying",
  /** Its upkeep is to be recorded before it is ordered. */
  Recording = "recording",
  /** It may have begun: it counts as down until the platform shows it up. */
  Ordered = "ordered",
  /** The platform has confirmed that its upkeep has begun. */
  Begun = "begun",
  /** It is up again, or is no VM of the platform any more. */
  Done = "done",
}

/** One VM of a wave. */
export interface VmUpkeep {
  vm: string;
  phase: UpkeepPhase;
  /** When its phase began, in this process's time. */
  since: number;
  /** Endpoint that it ran before its upkeep. */
  formerEndpoint: string;
  isCallUnderWay: boolean;
  /** The order is not repeated before this time. */
  retryAt: number;
}

/** A wave and how far it is. Times: this process's steady clock, in ms. */
export interface Wave {
  request: WaveRequest;
  upkeeps: Map<string, VmUpkeep>;
}

/** What the planner looks at. */
export interface WaveView {
  now: number;
  vms: ReadonlyMap<string, EndpointVm>;
  /** When the list of VMs was asked for. */
  listedAt: number;
  /** VMs that another wave has under way. */
  busy: ReadonlySet<string>;
  /** Tells whether an endpoint runs nothing any more. */
  isEmpty: (endpoint: string) => boolean;
}

/** What a plan asks its host to do. */
export interface WavePlan {
  /** Endpoints that get no new work. */
  close: string[];
  /** Endpoints whose runs are stopped as far as that is allowed. */
  stop: string[];
  /** Upkeeps that are recorded before they are ordered. */
  record: VmUpkeep[];
  /** Upkeeps that are ordered, or ordered again. */
  order: VmUpkeep[];
  /** Every VM has begun its upkeep, or has left. */
  isCompleted: boolean;
  /** Every VM is up again, or has left. */
  isOver: boolean;
}

/** How the platform answered an order to begin an upkeep. */
export enum UpkeepResult {
  /** It has begun, now or earlier. */
  Begun = "begun",
  /** The VM is not up, or leaves. */
  Busy = "busy",
  /** No such VM, or it is none of this wave. */
  NotPartOf = "not_part_of",
  /** A newer holder has given orders. */
  Deposed = "deposed",
  /** Nothing was done: there were too many calls. */
  Limited = "limited",
  /** No answer: it may have begun. */
  Unknown = "unknown",
}
