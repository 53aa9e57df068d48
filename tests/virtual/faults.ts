import fc from "fast-check";
import { DOMAINS, ENTRIES_PER_DOMAIN, type Site, TEAM_LIMITS } from "./site.ts";

/** Kinds of faults that a randomised run brings about. */
export enum FaultKind {
  Kill = "kill",
  KillAndReplace = "kill_and_replace",
  Freeze = "freeze",
  Drain = "drain",
  CutDomains = "cut_domains",
  CutPlatform = "cut_platform",
  StoreDown = "store_down",
  StoreSlow = "store_slow",
  LoseAnswers = "lose_answers",
  LateEffects = "late_effects",
  EndpointUnreachable = "endpoint_unreachable",
  EndpointGone = "endpoint_gone",
  EndpointLeaving = "endpoint_leaving",
  CallNoise = "call_noise",
  TaskNoise = "task_noise",
  ChangeLimit = "change_limit",
  RacingChanges = "racing_changes",
  WithdrawKey = "withdraw_key",
  RestoreConfig = "restore_config",
}

/** One fault of a run. */
export interface Fault {
  /** When it begins, in milliseconds from the start of the load. */
  at: number;
  kind: FaultKind;
  /** How long it lasts, in milliseconds. */
  lastsMs: number;
  /** Chooses what it hits. */
  target: number;
}

/** How long the faulty part of a run lasts, in milliseconds. */
export const FAULTY_MS = 15_000;

/** Generates the faults of one run. */
export const faultsArbitrary: fc.Arbitrary<Fault[]> = fc.array(
  fc.record({
    at: fc.integer({ min: 0, max: FAULTY_MS - 1_000 }),
    kind: fc.constantFrom(...Object.values(FaultKind)),
    lastsMs: fc.integer({ min: 100, max: 8_000 }),
    target: fc.integer({ min: 0, max: 1_000 }),
  }),
  { minLength: 1, maxLength: 12 },
);

/** Brings about a fault and ends it after its time. */
export function injectFault(site: Site, fault: Fault): void {
  const { time } = site;
  const later = (run: () => void) =>
    time.schedule("faults", fault.lastsMs, run);
  const vm = pickEntry(fault.target);
  const domain = DOMAINS[fault.target % DOMAINS.length];
  switch (fault.kind) {
    case FaultKind.Kill:
      site.killNode(vm);
      later(() => restart(site, vm));
      return;
    case FaultKind.KillAndReplace:
      site.killNode(vm);
      site.vmList.remove(vm);
      later(() => restart(site, vm));
      return;
    case FaultKind.Freeze:
      freeze(site, vm, later);
      return;
    case FaultKind.Drain:
      drain(site, vm, later);
      return;
    case FaultKind.CutDomains: {
      const cut = `${domain} ${DOMAINS[(fault.target + 1) % DOMAINS.length]}`;
      site.network.cuts.add(cut);
      later(() => site.network.cuts.delete(cut));
      return;
    }
    case FaultKind.CutPlatform:
      site.platformCuts.add(domain);
      later(() => site.platformCuts.delete(domain));
      return;
    case FaultKind.StoreDown:
      site.store.faults.down = true;
      later(() => site.store.faults.down = false);
      return;
    case FaultKind.StoreSlow:
      site.store.faults.slowMs = 500;
      later(() => site.store.faults.slowMs = 0);
      return;
    case FaultKind.LoseAnswers:
      site.store.faults.loseAnswers += 1 + fault.target % 4;
      return;
    case FaultKind.LateEffects:
      site.store.faults.lateEffects += 1 + fault.target % 3;
      return;
    case FaultKind.EndpointUnreachable: {
      const id = pickEndpoint(site, fault.target);
      site.endpoints.unreachable.add(id);
      later(() => site.endpoints.unreachable.delete(id));
      return;
    }
    case FaultKind.EndpointGone:
      replaceEndpoint(site, fault);
      return;
    case FaultKind.EndpointLeaving: {
      const id = pickEndpoint(site, fault.target);
      site.endpoints.leavingSince.set(id, time.now);
      later(() => site.endpoints.leavingSince.delete(id));
      return;
    }
    case FaultKind.CallNoise:
      site.network.doubled = 0.2;
      site.network.lost = 0.05;
      later(() => {
        site.network.doubled = 0;
        site.network.lost = 0;
      });
      return;
    case FaultKind.TaskNoise:
      site.endpoints.refused = 0.1;
      site.endpoints.lost = 0.1;
      later(() => {
        site.endpoints.refused = 0;
        site.endpoints.lost = 0;
      });
      return;
    case FaultKind.RestoreConfig:
      site.store.restore(site.firstConfig);
      later(() => void site.apply(site.original));
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
      later(() => void site.apply(makeWithAllKeys(site)));
      return;
  }
}

/** Ends every fault, so that the site can recover. */
export function healAll(site: Site): void {
  site.network.cuts.clear();
  site.network.doubled = 0;
  site.network.lost = 0;
  site.platformCuts.clear();
  Object.assign(site.store.faults, {
    down: false,
    slowMs: 0,
    loseAnswers: 0,
    lateEffects: 0,
  });
  site.endpoints.unreachable.clear();
  site.endpoints.leavingSince.clear();
  site.endpoints.refused = 0;
  site.endpoints.lost = 0;
  for (const { lane } of site.nodes.values()) site.time.thaw(lane);
}

/** Starts an entry on every VM that has none. */
export function restartAll(site: Site): void {
  for (let target = 0; target < DOMAINS.length * ENTRIES_PER_DOMAIN; target++) {
    restart(site, pickEntry(target));
  }
}

function restart(site: Site, vm: string): void {
  if (!site.nodes.has(vm)) site.startNode(vm[0], vm);
}

function freeze(
  site: Site,
  vm: string,
  later: (run: () => void) => void,
): void {
  const entry = site.nodes.get(vm);
  if (!entry) return;
  site.time.freeze(entry.lane);
  later(() => site.time.thaw(entry.lane));
}

function drain(
  site: Site,
  vm: string,
  later: (run: () => void) => void,
): void {
  const entry = site.nodes.get(vm);
  if (!entry || site.time.isFrozen(entry.lane)) return;
  site.time.schedule(entry.lane, 0, () => {
    entry.node.drain().then(() => {
      site.noteDrained(entry);
      void entry.node.stop();
      if (site.nodes.get(vm) === entry) site.killNode(vm);
    });
  });
  later(() => restart(site, vm));
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
  const next = structuredClone(site.configuration);
  next.teams[team].limit = 1 + target % 12;
  void site.apply(next);
}

function withdrawKey(site: Site, target: number): void {
  const teams = Object.keys(TEAM_LIMITS);
  const next = structuredClone(site.configuration);
  delete next.keys[teams[target % teams.length]];
  void site.apply(next);
}

function makeWithAllKeys(site: Site): Site["configuration"] {
  return { ...site.configuration, keys: site.original.keys };
}

function pickEntry(target: number): string {
  const domain = DOMAINS[target % DOMAINS.length];
  return `${domain}${Math.floor(target / DOMAINS.length) % ENTRIES_PER_DOMAIN}`;
}

function pickEndpoint(site: Site, target: number): string {
  const ids = [...site.endpoints.vms.keys()];
  return ids[target % ids.length];
}
