import type { EvacuationReport } from "../evacuation/mod.ts";
import {
  countFits,
  getCapacityDemand,
  type JobSpec,
  makeZeroDemand,
  type StepSpec,
} from "../jobs/mod.ts";
import { mayFormerStartArrive } from "./remnants.ts";
import type { CellState } from "./state.ts";
import { type Endpoint, type Run, RunPhase } from "./types.ts";

/** Returns whether an operator has requested that nothing start on an endpoint. */
export function isEvacuated(
  { evacuation }: CellState,
  { info }: Endpoint,
): boolean {
  return evacuation.domains.has(info.domain);
}

/** Formats the key by which an evacuation remembers a run. */
export function formatRunKey({ task, number }: Run): string {
  return `${task}#${number}`;
}

/** Describes the evacuations for operators. */
export function describeEvacuations(
  state: CellState,
  now: number,
): EvacuationReport[] {
  const unlocated = countUnlocatedRuns(state);
  return [...state.evacuation.domains.values()].map((evacuation) => {
    const { domain, sources, requestedAt, isEffective } = evacuation;
    return {
      domain,
      sources,
      ageMs: Math.round(now - requestedAt),
      isEffective,
      endpoints: listDomainEndpoints(state, domain)
        .filter(({ isListed }) => isListed).length,
      runs: listDomainRuns(state, domain).map((run) => ({
        task: run.task,
        run: run.number,
        endpoint: run.endpoint.info.id,
        phase: run.phase,
        verdict: state.evacuation.runs.get(formatRunKey(run))?.verdict,
      })),
      unlocated: unlocated.get(domain) ?? 0,
    };
  });
}

/** Counts the endpoints that the platform lists; 0 until the list was read. */
export function countListedEndpoints(state: CellState): number {
  return [...state.endpoints.values()].filter(({ isListed }) => isListed)
    .length;
}

/** Lists the endpoints of a domain. */
export function listDomainEndpoints(
  state: CellState,
  domain: string,
): Endpoint[] {
  return [...state.endpoints.values()].filter(({ info }) =>
    info.domain === domain
  );
}

/**
 * Lists the runs of a domain. A start that was ordered and is unanswered counts as a
 * run until it is settled; one that was not ordered yet is cancelled instead.
 */
export function listDomainRuns(state: CellState, domain: string): Run[] {
  return listDomainEndpoints(state, domain).flatMap(({ runs }) =>
    [...runs.values()].filter(({ phase, sentAt }) =>
      phase !== RunPhase.Starting || sentAt !== undefined
    )
  );
}

/**
 * Counts what may run in each evacuated domain and no endpoint has listed yet: tasks
 * and remnants that a former owner placed there.
 */
export function countUnlocatedRuns(state: CellState): Map<string, number> {
  const counts = new Map<string, number>();
  const places = [
    ...[...state.unlocated.values()].map(({ task }) => task.placedOn),
    ...[...state.remnants.values()].map(({ endpoint }) => endpoint),
  ];
  for (const place of places) {
    const endpoint = state.endpoints.get(place);
    if (!endpoint || !isEvacuated(state, endpoint)) continue;
    const { domain } = endpoint.info;
    counts.set(domain, (counts.get(domain) ?? 0) + 1);
  }
  return counts;
}

/**
 * Returns whether a start that was decided before a request may still be carried out
 * in its domain: one without an answer, or one of a former owner that an endpoint
 * does not fence off yet. An endpoint that was restored from the journal and is not
 * listed yet may be in any domain.
 */
export function mayStillStart(
  state: CellState,
  { domain, now }: { domain: string; now: number },
): boolean {
  const endpoints = [...state.endpoints.values()].filter(({ info }) =>
    info.domain === domain || info.domain === ""
  );
  const isPending = endpoints.some(({ runs, hasAcceptedFence, isReplaced }) =>
    !hasAcceptedFence && !isReplaced && now < state.formerStartsUntil ||
    [...runs.values()].some((run) => isStartPending(run, now))
  );
  if (isPending) return true;
  const ids = new Set(endpoints.map(({ info }) => info.id));
  return [...state.unlocated.values()].some((taskRef) =>
    ids.has(taskRef.task.placedOn) &&
    mayFormerStartArrive(state, { taskRef, now })
  );
}

/**
 * Explains why a job would wait for the end of an evacuation: one of its steps fits
 * only on endpoints of evacuated domains. Empty: it fits elsewhere, or on no endpoint.
 */
export function explainEvacuatedRoom(state: CellState, spec: JobSpec): string {
  if (state.evacuation.domains.size === 0) return "";
  const listed = [...state.endpoints.values()].filter(({ isListed, info }) =>
    isListed && info.service === spec.queue.service
  );
  const remaining = listed.filter((endpoint) => !isEvacuated(state, endpoint));
  const index = spec.steps.findIndex((step) =>
    canHold(listed, step) && !canHold(remaining, step)
  );
  if (index < 0) return "";
  return `only endpoints of evacuated failure domains can hold step ${index}`;
}

/** Returns whether idle endpoints hold a task of a step, or all tasks of a gang. */
function canHold(endpoints: readonly Endpoint[], step: StepSpec): boolean {
  const needed = step.gang ? step.tasks : 1;
  let slots = 0;
  for (const { info, fullRoom } of endpoints) {
    const { requiredLabel, maxPerEndpoint } = step;
    if (requiredLabel !== "" && !info.labels.includes(requiredLabel)) continue;
    const fitting = countFits(
      getCapacityDemand(step),
      fullRoom,
      makeZeroDemand(),
    );
    slots += maxPerEndpoint > 0 ? Math.min(fitting, maxPerEndpoint) : fitting;
    if (slots >= needed) return true;
  }
  return false;
}

function isStartPending(
  { phase, sentAt, startMayArriveUntil }: Run,
  now: number,
): boolean {
  if (phase === RunPhase.Starting) return sentAt !== undefined;
  return now < startMayArriveUntil;
}
