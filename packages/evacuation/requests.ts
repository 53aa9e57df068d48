import {
  type DomainEvacuation,
  type EvacuationChange,
  EvacuationChangeKind,
  type EvacuationRequest,
  type EvacuationState,
} from "./types.ts";

/**
 * Names of domains that a request may state. Any name that an endpoint's record may
 * state is accepted, known or not: a rejected request would leave a domain in use.
 */
const DOMAIN_NAME = /^\S{1,200}$/u;

/** Makes a state without evacuations. */
export function makeEvacuationState(): EvacuationState {
  return { domains: new Map(), runs: new Map() };
}

/** Returns whether a text can be the name of a failure domain. */
export function isDomainName(text: string): boolean {
  return DOMAIN_NAME.test(text);
}

/**
 * Applies the complete list of stored requests; returns what changed. Load: a request
 * is withdrawn and made again within one read of the store. The newer revision then
 * counts as a new request, which takes effect anew.
 */
export function applyRequests(
  state: EvacuationState,
  options: { requests: readonly EvacuationRequest[]; now: number },
): EvacuationChange[] {
  const { requests, now } = options;
  const changes: EvacuationChange[] = [];
  const requested = mergeByDomain(requests, now);
  for (const [domain, evacuation] of [...state.domains]) {
    if (requested.has(domain)) continue;
    state.domains.delete(domain);
    changes.push({ kind: EvacuationChangeKind.Withdrawn, evacuation });
  }
  for (const [domain, evacuation] of requested) {
    const current = state.domains.get(domain);
    if (current && evacuation.revision <= current.revision) {
      // A request of one source may be withdrawn while that of another holds.
      current.sources = evacuation.sources;
      continue;
    }
    state.domains.set(domain, evacuation);
    changes.push({ kind: EvacuationChangeKind.Requested, evacuation });
  }
  if (state.domains.size === 0) state.runs.clear();
  return changes;
}

/**
 * Marks the evacuations as effective whose domain has no start pending; returns those
 * that became so. `mayStillStart`: whether a start that was decided before the request
 * may still be carried out in a domain.
 */
export function confirmEffective(
  state: EvacuationState,
  mayStillStart: (domain: string) => boolean,
): EvacuationChange[] {
  const changes: EvacuationChange[] = [];
  for (const evacuation of state.domains.values()) {
    if (evacuation.isEffective || mayStillStart(evacuation.domain)) continue;
    evacuation.isEffective = true;
    changes.push({ kind: EvacuationChangeKind.Effective, evacuation });
  }
  return changes;
}

function mergeByDomain(
  requests: readonly EvacuationRequest[],
  now: number,
): Map<string, DomainEvacuation> {
  const merged = new Map<string, DomainEvacuation>();
  for (const { domain, source, revision } of requests) {
    const evacuation = merged.get(domain);
    if (!evacuation) {
      merged.set(domain, {
        domain,
        sources: [source],
        revision,
        requestedAt: now,
        isEffective: false,
      });
      continue;
    }
    evacuation.sources.push(source);
    evacuation.revision = Math.max(evacuation.revision, revision);
  }
  return merged;
}
