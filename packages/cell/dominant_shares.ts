import {
  addDemand,
  type Demand,
  getCapacityDemand,
  type JobSpec,
  makeZeroDemand,
} from "../jobs/mod.ts";
import { isEvacuated } from "./evacuated_domains.ts";
import { SharesName } from "./policies.ts";
import { getStep } from "./stages.ts";
import { addDecision, type CellState } from "./state.ts";
import { DecisionKind, type Stage } from "./types.ts";

/**
 * Fraction of a service's capacity from which it is scarce: tasks of different sizes do
 * not fill endpoints completely.
 */
const SCARCE_FRACTION = 0.85;

/** Shortest time between two records of who is beyond its share, in milliseconds. */
const CHECK_INTERVAL_MS = 1_000;

/** What an organisation runs and what waits for it, in one service. */
interface OrganisationDemand {
  weight: number;
  running: Demand;
  wanted: Demand;
}

/** How the capacity of a service is divided at a moment. */
export interface ShareLevel {
  /** Largest dominant share, divided by the weight, that is granted; infinite: all. */
  level: number;
  /** Dominant share of running and waiting work divided by the weight. */
  wanted: Map<string, number>;
  /** Organisations that were found beyond their share, and when this was checked. */
  beyond: ReadonlySet<string>;
  checkedAt: number;
}

/**
 * Returns whether a new job is beyond the share of its organisation: by the number of
 * jobs per second, or by the dominant share at the last plan.
 */
export function checkOverShare(
  state: CellState,
  { organisation, queue }: JobSpec,
  { now }: { now: number },
): boolean {
  if (state.policies.names.shares === SharesName.Dominant) {
    return getJobRatio(state, { organisation, queue }) > 0;
  }
  const rules = state.organisations?.get(organisation);
  return state.shareMeter.checkOverShare(organisation, {
    jobsPerSecond: rules?.weight ?? 0,
    now,
  });
}

/**
 * Returns the dominant share of an organisation at the last plan, divided by the level up
 * to which every organisation is served; 0 if it is within its share.
 */
export function getJobRatio(
  state: CellState,
  { organisation, queue }: Pick<JobSpec, "organisation" | "queue">,
): number {
  const shares = state.admission.shareLevels.get(queue.service);
  const wanted = shares?.wanted.get(organisation) ?? 0;
  return shares && wanted > shares.level ? wanted / shares.level : 0;
}

/** Returns the same for a waiting stage with the work of its organisation before it. */
export function getStageRatio(state: CellState, stage: Stage): number {
  if (state.policies.names.shares !== SharesName.Dominant) {
    return stage.job.isOverShare ? 1 : 0;
  }
  return state.admission.stageRatios.get(stage) ??
    getJobRatio(state, stage.job.spec);
}

/**
 * Sorts stages that are in the order of the policy. With dominant shares, those of one priority that are
 * beyond the share of their organisation come after the others, the smallest share first.
 * Load: one organisation sends many times its usual work. While capacity is not scarce,
 * the order is that of the policy; stages without value stay last.
 */
export function sortByShares(
  state: CellState,
  { sorted, now }: { sorted: Stage[]; now: number },
): Stage[] {
  if (state.policies.names.shares !== SharesName.Dominant) return sorted;
  const { admission } = state;
  const ratios = new Map<Stage, number>();
  admission.stageRatios = ratios;
  const demands = measureDemands(
    state,
    sorted.filter(({ expiresAt }) => now <= expiresAt),
  );
  const former = admission.shareLevels;
  admission.shareLevels = new Map();
  for (const [service, organisations] of demands) {
    const capacity = measureCapacity(state, service);
    const stages = sorted.filter(({ job }) =>
      job.spec.queue.service === service
    );
    const wanted = new Map<string, number>();
    for (const [name, { weight, wanted: demand }] of organisations) {
      wanted.set(name, computeDominantShare(demand, capacity) / weight);
    }
    const level = computeLevelOfShares(organisations, wanted);
    const shares = recordChanges(state, service, {
      shares: { level, wanted, beyond: new Set(), checkedAt: now },
      former: former.get(service),
    });
    admission.shareLevels.set(service, shares);
    if (!Number.isFinite(level)) continue;
    for (const stage of stages) {
      const organisation = organisations.get(stage.job.spec.organisation);
      if (!organisation || now > stage.expiresAt) continue;
      const share = computeDominantShare(organisation.running, capacity) /
        organisation.weight;
      addStage(organisation.running, stage);
      ratios.set(stage, share < level ? 0 : share / level);
    }
  }
  if (ratios.size === 0) return sorted;
  const expired = (stage: Stage) => now > stage.expiresAt ? 1 : 0;
  // The sort is stable: stages within their share keep the order of the policy.
  return sorted.sort((a, b) =>
    expired(a) - expired(b) ||
    a.job.spec.queue.priority - b.job.spec.queue.priority ||
    (ratios.get(a) ?? 0) - (ratios.get(b) ?? 0)
  );
}

/** Describes the shares of all services for a dump. */
export function describeShares(state: CellState): unknown {
  return [...state.admission.shareLevels].map(([service, shares]) => ({
    service,
    level: Number.isFinite(shares.level) ? shares.level : undefined,
    wanted: Object.fromEntries(shares.wanted),
    stagesBeyondShare: [...state.admission.stageRatios.values()]
      .filter((ratio) => ratio > 0).length,
  }));
}

/** Measures what each organisation runs and wants, by service. */
function measureDemands(
  state: CellState,
  stages: readonly Stage[],
): Map<string, Map<string, OrganisationDemand>> {
  const demands = new Map<string, Map<string, OrganisationDemand>>();
  const usualWeight = computeUsualWeight(state);
  const getDemand = (service: string, name: string): OrganisationDemand => {
    let organisations = demands.get(service);
    if (!organisations) demands.set(service, organisations = new Map());
    let demand = organisations.get(name);
    if (!demand) {
      const weight = state.organisations?.get(name)?.weight || usualWeight;
      const [running, wanted] = [makeZeroDemand(), makeZeroDemand()];
      organisations.set(name, demand = { weight, running, wanted });
    }
    return demand;
  };
  for (const [service, totals] of state.running.listTotals()) {
    for (const [organisation, total] of totals) {
      if (isZeroDemand(total)) continue;
      const { running, wanted } = getDemand(service, organisation);
      addDemand(running, total);
      addDemand(wanted, total);
    }
  }
  for (const stage of stages) {
    const { organisation, queue } = stage.job.spec;
    addStage(getDemand(queue.service, organisation).wanted, stage);
  }
  return demands;
}

function isZeroDemand(demand: Readonly<Demand>): boolean {
  return demand.milliCores === 0 && demand.memoryMb === 0 &&
    demand.accelerators === 0;
}

function addStage(total: Demand, stage: Stage): void {
  addDemand(total, getCapacityDemand(getStep(stage)), stage.waitingTasks);
}

/** Computes the weight of an organisation that has none: the mean of the others. */
function computeUsualWeight(state: CellState): number {
  const weights = [...state.organisations?.values() ?? []]
    .map(({ weight }) => weight)
    .filter((weight) => weight > 0);
  if (weights.length === 0) return 1;
  return weights.reduce((sum, weight) => sum + weight) / weights.length;
}

function measureCapacity(state: CellState, service: string): Demand {
  const capacity = makeZeroDemand();
  for (const endpoint of state.endpoints.values()) {
    const { info, isListed } = endpoint;
    if (!isListed || info.isDraining || info.service !== service) continue;
    if (isEvacuated(state, endpoint)) continue;
    addDemand(capacity, info.capacity);
  }
  return capacity;
}

/** Computes the largest share of any resource that a demand takes. */
function computeDominantShare(demand: Demand, capacity: Demand): number {
  return Math.max(
    computeShare(demand.milliCores, capacity.milliCores),
    computeShare(demand.memoryMb, capacity.memoryMb),
    computeShare(demand.accelerators, capacity.accelerators),
  );
}

function computeShare(amount: number, total: number): number {
  return total > 0 ? amount / total : 0;
}

/**
 * Computes the share per weight up to which each organisation is served, so that what
 * some do not use goes to the others; infinite if there is enough for all.
 */
function computeLevelOfShares(
  organisations: ReadonlyMap<string, OrganisationDemand>,
  wanted: ReadonlyMap<string, number>,
): number {
  const byShare = [...organisations]
    .map(([name, { weight }]) => ({ weight, share: wanted.get(name) ?? 0 }))
    .sort((a, b) => a.share - b.share);
  let left = SCARCE_FRACTION;
  let weightLeft = byShare.reduce((sum, { weight }) => sum + weight, 0);
  for (const { weight, share } of byShare) {
    if (share * weightLeft > left) return left / weightLeft;
    left -= share * weight;
    weightLeft -= weight;
  }
  return Number.POSITIVE_INFINITY;
}

/**
 * Records which organisations went beyond their share, or came back within it, at most
 * once in `CHECK_INTERVAL_MS`; returns the shares with the organisations beyond theirs.
 */
function recordChanges(
  state: CellState,
  service: string,
  options: { shares: ShareLevel; former: ShareLevel | undefined },
): ShareLevel {
  const { shares, former } = options;
  if (former && shares.checkedAt - former.checkedAt < CHECK_INTERVAL_MS) {
    return { ...shares, beyond: former.beyond, checkedAt: former.checkedAt };
  }
  const beyond = new Set<string>();
  for (const [name, wanted] of shares.wanted) {
    if (wanted > shares.level) beyond.add(name);
  }
  const formerlyBeyond = former?.beyond ?? new Set<string>();
  const record = (kind: DecisionKind, subject: string) => {
    const level = Number.isFinite(shares.level) ? shares.level : undefined;
    const wanted = shares.wanted.get(subject) ?? 0;
    addDecision(state, { kind, subject, inputs: { service, wanted, level } });
  };
  for (const name of beyond) {
    if (!formerlyBeyond.has(name)) record(DecisionKind.ShareExceeded, name);
  }
  for (const name of formerlyBeyond) {
    if (!beyond.has(name)) record(DecisionKind.ShareKept, name);
  }
  return { ...shares, beyond };
}
