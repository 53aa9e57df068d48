import type { JournalRecord } from "../journal/mod.ts";
import { addDemand, type Demand, makeZeroDemand } from "../jobs/mod.ts";
import type { AdmissionState } from "./admission_state.ts";
import type { AdviceCounts } from "./advice_choice.ts";
import type { Backlog } from "./admission.ts";
import type { Crash } from "./crash_types.ts";
import type { EvacuationState } from "../evacuation/mod.ts";
import type { RunTimes } from "../runtimes/mod.ts";
import type { PlacementMemory } from "./placement_memory.ts";
import type { CellPolicies } from "./policies.ts";
import type { RunningDemand } from "./running_demand.ts";
import type { ShareMeter } from "./share_meter.ts";
import type {
  Decision,
  EndedJob,
  Endpoint,
  Job,
  Order,
  OrganisationRules,
  Remnant,
  Run,
  Stage,
  Task,
  TrialLimit,
} from "./types.ts";

/** State of a cell's owner. Times: its steady clock, in milliseconds. */
export interface CellState {
  /** Longest lease of a task, in milliseconds. */
  leaseMs: number;
  /** Ownership term, from 1; later terms use higher run numbers. */
  term: number;
  jobs: Map<string, Job>;
  ended: Map<string, EndedJob>;
  /** Stored jobs without room among the held tasks, by acceptance; see `restoreStages`. */
  deferred: Set<Job>;
  /** What all jobs count in the budget of held tasks. */
  heldTasks: number;
  /** The budget of held tasks. */
  maxHeldTasks: number;
  endpoints: Map<string, Endpoint>;
  /** Rules of the organisations; `undefined` until they are known. */
  organisations: Map<string, OrganisationRules> | undefined;
  /**
   * Resources in use by each organisation, unlocated tasks and remnants
   * included.
   */
  usage: Map<string, Demand>;
  /** Ready stages with waiting tasks. */
  ready: Set<Stage>;
  /** Stages whose dependencies are done and whose start time has not come. */
  awaitingStartTime: Set<Stage>;
  /** Tasks that may still run where a former owner placed them, by name. */
  unlocated: Map<string, { stage: Stage; task: Task }>;
  /** Runs of former owners that no task needs, by task and endpoint. */
  remnants: Map<string, Remnant>;
  /**
   * From this time on no run of a former owner is left, not even on an endpoint
   * that this owner has no contact with.
   */
  unlocatedUntil: number;
  /** From this time on no start order of a former owner can be carried out. */
  formerStartsUntil: number;
  /** When this owner restored the cell, in Unix milliseconds. */
  restoredAt: number;
  /** When the newest plan was made, in Unix milliseconds. */
  plannedAt: number;
  /** Tasks under which endpoints have crashed and that no run cleared, by name. */
  suspects: Map<string, { stage: Stage; task: Task }>;
  /** Crashes within `CRASH_HISTORY_MS`. */
  recentCrashes: Crash[];
  /** When the recent crashes were judged last. */
  crashesJudgedAt: number;
  /** How suspects are tried, by queue; missing: as at first. */
  trialLimits: Map<string, TrialLimit>;
  /** Runs that were ordered to stop and have not been released. */
  stoppingRuns: Set<Run>;
  /** What the runs of each organisation take in each service. */
  running: RunningDemand;
  shareMeter: ShareMeter;
  policies: CellPolicies;
  runTimes: RunTimes;
  /** Failure domains in which nothing is started. */
  evacuation: EvacuationState;
  placement: PlacementMemory;
  /**
   * Predicted duration of the advice calls in flight, in milliseconds, for each
   * entry that makes them. The policy service handles the calls of one entry
   * one after the other.
   */
  adviceBacklogsMs: number[];
  /** Answers of the policy service so far, by name of the queue. */
  adviceCounts: Map<string, AdviceCounts>;
  /** Counts selections for advice calls, so that each begins elsewhere. */
  adviceCursor: number;
  /** Waiting work of each service at the last plan, plus later arrivals. */
  backlogs: Map<string, Backlog>;
  admission: AdmissionState;
  output: CellOutput;
}

/** Results of decisions that the host has to store and carry out. */
export interface CellOutput {
  records: JournalRecord[];
  /** Task names and run numbers to commit before their start, by endpoint. */
  placements: Map<string, [string, number][]>;
  orders: Order[];
  decisions: Decision[];
  /** Jobs to mark as accepted once `records` are committed. */
  accepted: Set<Job>;
  /** Jobs to report as ended once `records` are committed. */
  finished: Set<Job>;
  /**
   * Number of the last applied end of each endpoint, which may be acknowledged
   * once `records` are committed.
   */
  committedEnds: Map<Endpoint, { bornAt: number; end: number }>;
  /** Endpoints that may get tasks once `records` are committed. */
  recorded: Set<Endpoint>;
}

/** Makes an empty output. */
export function makeOutput(): CellOutput {
  return {
    records: [],
    placements: new Map(),
    orders: [],
    decisions: [],
    accepted: new Set(),
    finished: new Set(),
    committedEnds: new Map(),
    recorded: new Set(),
  };
}

/** Returns an organisation's resources in use, as a mutable total. */
export function getUsage(state: CellState, organisation: string): Demand {
  let usage = state.usage.get(organisation);
  if (!usage) {
    usage = makeZeroDemand();
    state.usage.set(organisation, usage);
  }
  return usage;
}

/** Adds a run to its endpoint and to the usage of its organisation. */
export function addRun(state: CellState, run: Run): void {
  run.endpoint.runs.set(run.task, run);
  state.running.add(run);
  addDemand(run.endpoint.used, run.demand);
  addDemand(getUsage(state, run.organisation), run.charge);
}

/** Removes a run that certainly no longer occupies resources. */
export function removeRun(state: CellState, run: Run): void {
  if (run.endpoint.runs.get(run.task) !== run) return;
  run.endpoint.runs.delete(run.task);
  state.stoppingRuns.delete(run);
  state.running.remove(run);
  addDemand(run.endpoint.used, run.demand, -1);
  addDemand(getUsage(state, run.organisation), run.charge, -1);
}

/** Counts one more waiting task; a ready stage joins `ready`. */
export function addWaiting(
  state: CellState,
  { stage }: { stage: Stage; task: Task },
): void {
  stage.waitingTasks++;
  if (stage.isReady && !stage.job.outcome) state.ready.add(stage);
}

/** Counts one waiting task less; a stage without any leaves `ready`. */
export function removeWaiting(state: CellState, stage: Stage): void {
  stage.waitingTasks--;
  if (stage.waitingTasks === 0) state.ready.delete(stage);
}

/** Adds a placement that must be committed before the run may start. */
export function addPlacement(state: CellState, run: Run): void {
  const { id } = run.endpoint.info;
  const { placements } = state.output;
  const runs = placements.get(id);
  if (runs) runs.push([run.task, run.number]);
  else placements.set(id, [[run.task, run.number]]);
}

/**
 * Describes what a run takes and the room of its endpoint as the owner sees
 * them, for the log: thousandths of a core, MB of memory, accelerators. `taken`
 * is what all runs take there, this one included.
 */
export function describeRoom(run: Run): Record<string, number[]> {
  const { info, used } = run.endpoint;
  return {
    demand: listAmounts(run.demand),
    room: listAmounts(info.capacity),
    taken: listAmounts(used),
  };
}

/** Lists the amounts of a demand, for the log. */
export function listAmounts(demand: Demand): number[] {
  return [demand.milliCores, demand.memoryMb, demand.accelerators];
}

/** Adds a decision for the log. */
export function addDecision(state: CellState, decision: Decision): void {
  state.output.decisions.push(decision);
}
