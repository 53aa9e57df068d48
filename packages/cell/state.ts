import type { JournalRecord } from "../journal/mod.ts";
import { addDemand, type Demand, makeNoDemand } from "../jobs/mod.ts";
import type { Backlog } from "./admission.ts";
import type { CellPolicies } from "./policies.ts";
import type { ShareMeter } from "./share_meter.ts";
import type {
  Decision,
  EndedJob,
  Endpoint,
  Job,
  Order,
  OrganisationRules,
  Run,
  Stage,
  Task,
} from "./types.ts";

/** All that a cell's owner knows. Times: its own steady clock, in ms. */
export interface CellState {
  /** Longest lease of a task, in milliseconds. */
  leaseMs: number;
  /** Counts owners; later terms use higher run numbers. */
  term: number;
  jobs: Map<string, Job>;
  ended: Map<string, EndedJob>;
  endpoints: Map<string, Endpoint>;
  organisations: Map<string, OrganisationRules>;
  /** What each organisation has running, with all that may be running. */
  usage: Map<string, Demand>;
  /** Stages whose turn has come and that have tasks waiting. */
  ready: Set<Stage>;
  /** Stages that wait for their time. */
  timed: Set<Stage>;
  /** Tasks that may still run where a former owner started them. */
  unlocated: Map<string, { stage: Stage; task: Task }>;
  /** When nothing of a former owner can run on an endpoint without contact. */
  unlocatedUntil: number;
  /** Runs that stop and are not yet told so. */
  stopping: Set<Run>;
  share: ShareMeter;
  policies: CellPolicies;
  /**
   * Predicted time of the calls for advice under way, in ms, for each entry
   * that asks: the policy service takes the calls of one entry in turn.
   */
  adviceLanes: number[];
  /** What waited for each service at the last plan, and came since. */
  backlogs: Map<string, Backlog>;
  output: CellOutput;
}

/** What decisions led to and the host has to carry out. */
export interface CellOutput {
  records: JournalRecord[];
  /** Runs that start once the store holds them, by endpoint. */
  placements: Map<string, [string, number][]>;
  orders: Order[];
  decisions: Decision[];
  /** Jobs that count as accepted once `records` are committed. */
  accepted: Set<Job>;
  /** Jobs that are shown as ended once `records` are committed. */
  finished: Set<Job>;
  /** Last ends that count as recorded once `records` are committed. */
  marks: Map<Endpoint, { bornAt: number; end: number }>;
  /** Endpoints that may be used once `records` are committed. */
  recorded: Set<Endpoint>;
}

/** Makes the output of no decision. */
export function makeOutput(): CellOutput {
  return {
    records: [],
    placements: new Map(),
    orders: [],
    decisions: [],
    accepted: new Set(),
    finished: new Set(),
    marks: new Map(),
    recorded: new Set(),
  };
}

/** Returns what an organisation has running. */
export function getUsage(state: CellState, organisation: string): Demand {
  let usage = state.usage.get(organisation);
  if (!usage) {
    usage = makeNoDemand();
    state.usage.set(organisation, usage);
  }
  return usage;
}

/** Adds a run to its endpoint and its organisation. */
export function addRun(state: CellState, run: Run): void {
  run.endpoint.runs.set(run.task, run);
  addDemand(run.endpoint.used, run.demand);
  addDemand(getUsage(state, run.organisation), run.charge);
}

/** Removes a run that certainly no longer takes room. */
export function removeRun(state: CellState, run: Run): void {
  if (run.endpoint.runs.get(run.task) !== run) return;
  run.endpoint.runs.delete(run.task);
  state.stopping.delete(run);
  addDemand(run.endpoint.used, run.demand, -1);
  addDemand(getUsage(state, run.organisation), run.charge, -1);
}

/** Counts one more task of a stage that waits to be started. */
export function addWaiting(
  state: CellState,
  { stage }: { stage: Stage; task: Task },
): void {
  stage.waiting++;
  if (stage.isReady && !stage.job.outcome) state.ready.add(stage);
}

/** Counts one task less of a stage that waits. */
export function removeWaiting(state: CellState, stage: Stage): void {
  stage.waiting--;
  if (stage.waiting === 0) state.ready.delete(stage);
}

/** Adds to what the store must hold before the tasks may be started. */
export function addPlacement(state: CellState, run: Run): void {
  const { id } = run.endpoint.info;
  const { placements } = state.output;
  const runs = placements.get(id);
  if (runs) runs.push([run.task, run.number]);
  else placements.set(id, [[run.task, run.number]]);
}

/** Adds a decision for the log. */
export function addDecision(state: CellState, decision: Decision): void {
  state.output.decisions.push(decision);
}
