import fc from "fast-check";
import { DOMAINS, ENTRIES_PER_DOMAIN, type Site, TEAM_LIMITS } from "./site.ts";

/** Kinds of faults that a randomised run injects. */
export enum FaultKind {
  /** Kills an entry and starts it again on the same VM. */
  Kill = "kill",
  /** Kills an entry and removes its VM from the VM list until it restarts. */
  KillAndReplace = "kill_and_replace",
  /** Suspends the process of an entry, then resumes it. */
  Freeze = "freeze",
  /** Drains an entry, stops it and starts it again. */
  Drain = "drain",
  /** Partitions two failure domains from each other. */
  CutDomains = "cut_domains",
  /** Partitions a failure domain from the store and the VM list. */
  CutPlatform = "cut_platform",
  /** Every call to the store fails as not sent. */
  StoreDown = "store_down",
  /** Every call to the store takes longer. */
  StoreSlow = "store_slow",
  /** The next commits take effect, but their answers are lost. */
  LoseAnswers = "lose_answers",
  /** The next commits take effect only after they have timed out. */
  LateEffects = "late_effects",
  /** One endpoint is unreachable for all entries. */
  EndpointUnreachable = "endpoint_unreachable",
  /** Replaces an endpoint by another one in its failure domain. */
  EndpointGone = "endpoint_gone",
  /** An endpoint reports that it is leaving. */
  EndpointLeaving = "endpoint_leaving",
  /** Calls between entries are duplicated and answers are lost. */
  CallNoise = "call_noise",
  /** Endpoints refuse starts, and answers to starts are lost. */
  TaskNoise = "task_noise",
  /** Changes the limit of a team. */
  ChangeLimit = "change_limit",
  /** Applies two changes of limits at the same time. */
  RacingChanges = "racing_changes",
  /** Removes a team's key from the configuration and adds it again. */
  WithdrawKey = "withdraw_key",
  /**
   * Restores the configuration records that were in the store when the load
   * began, and applies the initial configuration afterwards.
   */
  RestoreConfig = "restore_config",
}

/** One fault of a run. */
export interface Fault {
  /** Start of the fault, in milliseconds after the start of the load. */
  at: number;
  kind: FaultKind;
  /** Duration, in milliseconds. */
  lastsMs: number;
  /**
   * Number that selects the entry, endpoint, domain or team; some kinds also
   * derive a limit or a number of commits from it.
   */
  target: number;
}

/** Duration of the phase in which faults begin, in milliseconds. */
export const FAULT_PHASE_MS = 15_000;

/** Generates the faults of one run. */
export const faultsArbitrary: fc.Arbitrary<Fault[]> = fc.array(
  fc.record({
    at: fc.integer({ min: 0, max: FAULT_PHASE_MS - 1_000 }),
    kind: fc.constantFrom(...Object.values(FaultKind)),
    lastsMs: fc.integer({ min: 100, max: 8_000 }),
    target: fc.integer({ min: 0, max: 1_000 }),
  }),
  { minLength: 1, maxLength: 12 },
);

/** Injects a fault and schedules its end. */
export function injectFault(site: Site, fault: Fault): void {
  const { time } = site;
  const scheduleEnd = (run: () => void) =>
    time.schedule("faults", fault.lastsMs, run);
  const vm = pickEntryVm(fault.target);
  const domain = DOMAINS[fault.target % DOMAINS.length];
  switch (fault.kind) {
    case FaultKind.Kill:
      site.killEntry(vm);
      scheduleEnd(() => startIfMissing(site, vm));
      return;
    case FaultKind.KillAndReplace:
      site.killEntry(vm);
      site.vmList.remove(vm);
      scheduleEnd(() => startIfMissing(site, vm));
      return;
    case FaultKind.Freeze:
      freeze(site, vm, scheduleEnd);
      return;
    case FaultKind.Drain:
      drain(site, vm, scheduleEnd);
      return;
    case FaultKind.CutDomains: {
      const partition = `${domain} ${
        DOMAINS[(fault.target + 1) % DOMAINS.length]
      }`;
      site.network.partitions.add(partition);
      scheduleEnd(() => site.network.partitions.delete(partition));
      return;
    }
    case FaultKind.CutPlatform:
      site.platformPartitions.add(domain);
      scheduleEnd(() => site.platformPartitions.delete(domain));
      return;
    case FaultKind.StoreDown:
      site.store.faults.isDown = true;
      scheduleEnd(() => site.store.faults.isDown = false);
      return;
    case FaultKind.StoreSlow:
      site.store.faults.extraLatencyMs = 500;
      scheduleEnd(() => site.store.faults.extraLatencyMs = 0);
      return;
    case FaultKind.LoseAnswers:
      site.store.faults.answersToLose += 1 + fault.target % 4;
      return;
    case FaultKind.LateEffects:
      site.store.faults.commitsToDelay += 1 + fault.target % 3;
      return;
    case FaultKind.EndpointUnreachable: {
      const id = pickEndpoint(site, fault.target);
      site.endpoints.unreachable.add(id);
      scheduleEnd(() => site.endpoints.unreachable.delete(id));
      return;
    }
    case FaultKind.EndpointGone:
      replaceEndpoint(site, fault);
      return;
    case FaultKind.EndpointLeaving: {
      const id = pickEndpoint(site, fault.target);
      site.endpoints.leavingSince.set(id, time.now);
      scheduleEnd(() => site.endpoints.leavingSince.delete(id));
      return;
    }
    case FaultKind.CallNoise:
      site.network.duplicateRate = 0.2;
      site.network.lostAnswerRate = 0.05;
      scheduleEnd(() => {
        site.network.duplicateRate = 0;
        site.network.lostAnswerRate = 0;
      });
      return;
    case FaultKind.TaskNoise:
      site.endpoints.refusalRate = 0.1;
      site.endpoints.lostAnswerRate = 0.1;
      scheduleEnd(() => {
        site.endpoints.refusalRate = 0;
        site.endpoints.lostAnswerRate = 0;
      });
      return;
    case FaultKind.RestoreConfig:
      site.store.restoreValues(site.initialConfigRecords);
      scheduleEnd(() => void site.apply(site.initialConfiguration));
      return;
    case FaultKind.ChangeLimit:
      changeLimit(site, fault.target);
      return;
    case FaultKind.RacingChanges:
      changeLimit(site, fault.target);
      changeLimit(site, fault.target + 1);
      return;
    case FaultKind.WithdrawKey:
      withdrawKey(site, fault.target);
      scheduleEnd(() => void site.apply(makeConfigurationWithAllKeys(site)));
      return;
  }
}

/**
 * Ends all faults that last, so that the site can recover. Killed and drained
 * entries stay down until their scheduled restart or `startMissingEntries`.
 * Replaced endpoints and changes of the configuration stay.
 */
export function endAllFaults(site: Site): void {
  site.network.partitions.clear();
  site.network.duplicateRate = 0;
  site.network.lostAnswerRate = 0;
  site.platformPartitions.clear();
  Object.assign(site.store.faults, {
    isDown: false,
    extraLatencyMs: 0,
    answersToLose: 0,
    commitsToDelay: 0,
  });
  site.endpoints.unreachable.clear();
  site.endpoints.leavingSince.clear();
  site.endpoints.refusalRate = 0;
  site.endpoints.lostAnswerRate = 0;
  for (const { processId } of site.entries.values()) site.time.thaw(processId);
}

/** Starts an entry on each entry VM that runs none. */
export function startMissingEntries(site: Site): void {
  for (let target = 0; target < DOMAINS.length * ENTRIES_PER_DOMAIN; target++) {
    startIfMissing(site, pickEntryVm(target));
  }
}

/** Starts an entry on a VM unless one runs there. */
function startIfMissing(site: Site, vm: string): void {
  // The first letter of an entry VM's id is its failure domain.
  if (!site.entries.has(vm)) site.startEntry(vm[0], vm);
}

function freeze(
  site: Site,
  vm: string,
  scheduleEnd: (run: () => void) => void,
): void {
  const entry = site.entries.get(vm);
  if (!entry) return;
  site.time.freeze(entry.processId);
  scheduleEnd(() => site.time.thaw(entry.processId));
}

function drain(
  site: Site,
  vm: string,
  scheduleEnd: (run: () => void) => void,
): void {
  const entry = site.entries.get(vm);
  if (!entry || site.time.isFrozen(entry.processId)) return;
  site.time.schedule(entry.processId, 0, () => {
    entry.node.drain().then(() => {
      site.checkDrain(entry);
      void entry.node.stop();
      if (site.entries.get(vm) === entry) site.killEntry(vm);
    });
  });
  scheduleEnd(() => startIfMissing(site, vm));
}

function replaceEndpoint(site: Site, fault: Fault): void {
  const id = pickEndpoint(site, fault.target);
  const { domain } = site.endpoints.vms.get(id)!;
  site.endpoints.remove(id);
  site.vmList.remove(id);
  site.addEndpoint(domain, `${id}x`);
}

function changeLimit(site: Site, target: number): void {
  const teams = Object.keys(TEAM_LIMITS);
  const team = teams[target % teams.length];
  const newConfiguration = structuredClone(site.configuration);
  newConfiguration.teams[team].limit = 1 + target % 12;
  void site.apply(newConfiguration);
}

function withdrawKey(site: Site, target: number): void {
  const teams = Object.keys(TEAM_LIMITS);
  const newConfiguration = structuredClone(site.configuration);
  delete newConfiguration.keys[teams[target % teams.length]];
  void site.apply(newConfiguration);
}

function makeConfigurationWithAllKeys(site: Site): Site["configuration"] {
  return { ...site.configuration, keys: site.initialConfiguration.keys };
}

/** Returns the id of an entry VM. */
function pickEntryVm(target: number): string {
  const domain = DOMAINS[target % DOMAINS.length];
  return `${domain}${Math.floor(target / DOMAINS.length) % ENTRIES_PER_DOMAIN}`;
}

function pickEndpoint(site: Site, target: number): string {
  const ids = [...site.endpoints.vms.keys()];
  return ids[target % ids.length];
}
