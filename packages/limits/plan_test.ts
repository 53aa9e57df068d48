import test from "ava";
import fc from "fast-check";
import {
  createDomainBucket,
  createFleetBucket,
  findBucket,
  type LimitsView,
  planLimits,
  sumGrants,
} from "./mod.ts";

const DOMAINS = ["a", "b", "c"];
const HOLDERS = DOMAINS.map((domain) =>
  [1, 2, 3].map((number) => `${domain}/${number}`)
);
const TEAM = "ox";
const BUCKET = findBucket(TEAM);

/** Nine entries that plan in turn, with their running and waiting tasks. */
class SimulatedFleet {
  fleet = createFleetBucket();
  domains = DOMAINS.map(() => createDomainBucket());
  usage = new Map<string, number>();
  waiting = new Map<string, number>();
  ceilings = new Map<string, number>();
  version = 1;

  constructor(public limit: number) {}

  step(domain: number, holder: string): void {
    const usage = this.usage.get(holder) ?? 0;
    const waiting = this.waiting.get(holder) ?? 0;
    const view: LimitsView = {
      domain: DOMAINS[domain],
      holder,
      holders: HOLDERS[domain],
      domains: DOMAINS,
      version: this.version,
      limits: { [TEAM]: this.limit },
      demand: new Map([[TEAM, { usage, waiting }]]),
      predecessorTasks: {},
      draining: false,
    };
    const current = {
      fleet: this.fleet,
      domain: this.domains[domain],
      bucket: BUCKET,
    };
    const plan = planLimits(current, view, { writer: "w" });
    this.fleet = plan.fleet ?? this.fleet;
    this.domains[domain] = plan.domain ?? this.domains[domain];
    this.ceilings.set(holder, plan.ceilings[TEAM] ?? Infinity);
  }

  getGrant(domain: number, holder: string): number {
    return this.domains[domain].teams[TEAM]?.grants[holder] ?? 0;
  }

  /** Ends some tasks, then starts waiting ones up to the grant and ceiling. */
  runTasks(domain: number, holder: string, ended: number): void {
    const running = Math.max(0, (this.usage.get(holder) ?? 0) - ended);
    const ceiling = this.ceilings.get(holder) ?? Infinity;
    const allowed = Math.min(this.getGrant(domain, holder), ceiling);
    const waiting = this.waiting.get(holder) ?? 0;
    const started = Math.max(0, Math.min(allowed - running, waiting));
    this.usage.set(holder, running + started);
  }
}

test("grants never add up to more than the limit", (t) => {
  const stepInput = fc.record({
    domain: fc.nat(2),
    holder: fc.nat(2),
    waiting: fc.nat(30),
    ended: fc.nat(5),
    limit: fc.option(fc.nat(40), { freq: 10 }),
  });
  fc.assert(
    fc.property(fc.array(stepInput, { maxLength: 200 }), (steps) => {
      const simulation = new SimulatedFleet(20);
      let highestLimit = 20;
      for (const { domain, holder: index, waiting, ended, limit } of steps) {
        const holder = HOLDERS[domain][index];
        if (limit !== null) {
          simulation.limit = limit;
          simulation.version += 1;
          highestLimit = Math.max(highestLimit, limit);
        }
        simulation.waiting.set(holder, waiting);
        simulation.step(domain, holder);
        simulation.runTasks(domain, holder, ended);
        const team = simulation.fleet.teams[TEAM];
        DOMAINS.forEach((domainName, domainIndex) => {
          const domainSum = sumGrants(
            simulation.domains[domainIndex].teams[TEAM],
          );
          if (domainSum > (team?.grants[domainName] ?? 0)) {
            throw new Error(
              "grants of entries exceed the grant of their domain",
            );
          }
        });
        if (sumGrants(team) > highestLimit) {
          throw new Error("grants of domains exceed the limit");
        }
        const running = [...simulation.usage.values()].reduce(
          (a, b) => a + b,
          0,
        );
        if (running > highestLimit) {
          throw new Error("running tasks exceed the limit");
        }
      }
    }),
    { seed: 11, numRuns: 300 },
  );
  t.pass();
});

test("an entry without a grant gets one that others leave unused", (t) => {
  const simulation = new SimulatedFleet(20);
  const entries = HOLDERS.flatMap((holders, domain) =>
    holders.map((holder) => ({ domain, holder }))
  );
  const [lateEntry, ...earlyEntries] = entries;
  for (const { domain, holder } of earlyEntries) {
    simulation.waiting.set(holder, 3);
    simulation.step(domain, holder);
    simulation.waiting.set(holder, 0);
  }
  simulation.waiting.set(lateEntry.holder, 1);
  for (let round = 0; round < 4; round++) {
    for (const { domain, holder } of entries) simulation.step(domain, holder);
  }
  t.true(simulation.getGrant(lateEntry.domain, lateEntry.holder) >= 1);
});

test("an entry without a grant gets its fair share from busy ones", (t) => {
  const simulation = new SimulatedFleet(60);
  const entries = HOLDERS.flatMap((holders, domain) =>
    holders.map((holder) => ({ domain, holder }))
  );
  const [lateEntry, ...earlyEntries] = entries;
  const runRound = (participants: typeof entries) => {
    for (const { domain, holder } of participants) {
      simulation.step(domain, holder);
      simulation.runTasks(domain, holder, 3);
    }
  };
  for (const { holder } of earlyEntries) simulation.waiting.set(holder, 20);
  for (let round = 0; round < 20; round++) runRound(earlyEntries);
  t.true(simulation.getGrant(lateEntry.domain, lateEntry.holder) === 0);
  simulation.waiting.set(lateEntry.holder, 50);
  for (let round = 0; round < 20; round++) runRound(entries);
  const granted = simulation.getGrant(lateEntry.domain, lateEntry.holder);
  t.true(granted >= 5, `granted ${granted} of 60 tasks to one of 9 entries`);
  const running = [...simulation.usage.values()].reduce((a, b) => a + b, 0);
  t.true(running >= 54, `${running} of 60 tasks run`);
});
