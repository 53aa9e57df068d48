import type { Fault } from "./faults.ts";
import {
  endAllFaults,
  FAULT_PHASE_MS,
  injectFault,
  startMissingEntries,
} from "./faults.ts";
import { findViolations } from "./find_violations.ts";
import { Site } from "./site.ts";

const LOAD_INTERVAL_MS = 30;
const RECOVERY_MS = 25_000;
const PROBE_PHASE_MS = 10_000;

/** Result of one randomised run. */
export interface RunReport {
  /** Violations found; empty if the run passed. */
  faults: string[];
  /** Number of requests sent. */
  requests: number;
  /** Number of invariant checks made. */
  checks: number;
  /** Number of task starts that arrived at endpoints. */
  starts: number;
  /** Number of requests by verdict and cause. */
  outcomes: Record<string, number>;
}

/**
 * Runs a site under load with faults, ends the faults, lets the site recover
 * and checks the invariants.
 */
export async function runSite(
  seed: number,
  faults: Fault[],
): Promise<RunReport> {
  const site = new Site(seed);
  await site.start();
  site.sendLoad(LOAD_INTERVAL_MS);
  for (const fault of faults) {
    site.time.schedule("faults", fault.at, () => injectFault(site, fault));
  }
  await site.time.advance(FAULT_PHASE_MS);
  endAllFaults(site);
  // The scheduled ends of faults, such as restarts, run in this time.
  await site.time.advance(FAULT_PHASE_MS);
  startMissingEntries(site);
  site.stopLoad();
  void site.apply(site.initialConfiguration);
  await site.time.advance(RECOVERY_MS);
  const violations = [
    ...findViolations(site),
    ...await findLivenessViolations(site),
  ];
  return describeRun(site, violations);
}

/**
 * Checks that every request at a running entry has an outcome, every entry runs
 * new work, every endpoint is served and the configuration is accepted.
 */
async function findLivenessViolations(site: Site): Promise<string[]> {
  const violations: string[] = [];
  for (const request of site.requests) {
    const isEntryRunning = !site.time.isKilled(request.processId);
    if (isEntryRunning && !request.outcome) {
      violations.push(`${request.id || request.ref}: no outcome`);
    }
  }
  // Services run until they are stopped and would occupy the slots that the
  // probes need.
  site.endpoints.stopServices();
  await site.time.advance(PROBE_PHASE_MS);
  const probes = [...site.entries.values()].map((entry) =>
    site.send(entry, { team: "ceiba", ref: `probe ${entry.vm}`, runMs: 20 })
  );
  await site.time.advance(PROBE_PHASE_MS);
  for (const probe of probes) {
    if (probe.outcome?.cause === "completed") continue;
    if (probe.outcome?.cause === "unauthenticated") continue;
    violations.push(`${probe.ref}: ${JSON.stringify(probe.outcome)}`);
  }
  const serving = [...site.entries.values()].reduce(
    (sum, { node }) => sum + node.describeSelf().load.endpoints,
    0,
  );
  if (serving !== site.endpoints.vms.size) {
    violations.push(`${serving} of ${site.endpoints.vms.size} endpoints serve`);
  }
  return [...violations, ...findConfigViolations(site)];
}

/** Checks that every entry has accepted the newest configuration version. */
function findConfigViolations(site: Site): string[] {
  const heads = [...site.entries.values()].map(({ node }) =>
    node.config.state.head
  );
  const newest = Math.max(...heads.map(({ version }) => version));
  return heads.filter(({ accepted }) => accepted !== newest).map((head) =>
    `version ${newest} is not accepted: ${JSON.stringify(head)}`
  );
}

function describeRun(site: Site, faults: string[]): RunReport {
  const outcomes: Record<string, number> = {};
  for (const { outcome } of site.requests) {
    const name = outcome ? `${outcome.verdict} ${outcome.cause}` : "none";
    outcomes[name] = (outcomes[name] ?? 0) + 1;
  }
  return {
    faults: faults,
    requests: site.requests.length,
    checks: site.invariantChecks + site.endpoints.checks,
    starts: site.endpoints.starts.length,
    outcomes,
  };
}
