import test from "ava";
import {
  type EndpointListing,
  hasStartInDoubt,
  type ListedRun,
  ListingExtent,
  RunPhase,
} from "../../packages/cell/mod.ts";
import { JobState } from "../../packages/jobs/mod.ts";
import {
  CellSite,
  makeJob,
  makeQueue,
  makeStep,
  TICKETS,
} from "./cell_site.ts";

/** Time by which no order can be carried out any more and no run is left, ms. */
const ALL_ORDERS_SETTLED_MS = 30_000;

/** Longest time that a stop takes, in milliseconds; the platform's limit. */
const LONGEST_STOP_MS = 400;

/** Makes a listing of the current lifetime of an endpoint. */
function makeListing(
  site: CellSite,
  { id = "e0", ...overrides }: Partial<EndpointListing> & { id?: string } = {},
): EndpointListing {
  const fake = site.endpoints.get(id)!;
  return {
    bornAt: fake.bornAt,
    clockMs: fake.readClock(site.now),
    running: [],
    ended: [],
    extent: ListingExtent.Whole,
    ...overrides,
  };
}

function makeListedRun(task: string): ListedRun {
  return { task, run: 1, saved: "", percent: 5, gauge: 0 };
}

/** Applies a listing of an endpoint that was asked for at `askedAt`. */
function applyListing(
  site: CellSite,
  { id = "e0", listing, askedAt }: {
    id?: string;
    listing: EndpointListing;
    askedAt: number;
  },
): void {
  const endpoint = site.cell.state.endpoints.get(id)!;
  site.cell.applyListing(endpoint, {
    listing,
    fence: site.fence,
    times: { ...site.time, askedAt },
  });
}

/** Starts a site with one run on its only endpoint, which answers no further polls. */
function startSiteWithRun(): CellSite {
  const site = new CellSite({ endpoints: 1, afterMs: 60_000 });
  site.advance(200);
  site.submit(makeJob("a", [makeStep()]));
  site.advance(200);
  site.pollIntervalMs = Number.MAX_SAFE_INTEGER;
  return site;
}

// Guards against a task that is started elsewhere while it runs: a poll waited at the
// restarted endpoint while a start with a new ticket was answered there, and the listing
// released the run with those of the former lifetime.
test("of the runs of a restarted endpoint, those that it started since are kept", (t) => {
  const site = new CellSite({ endpoints: 2, afterMs: 3_000 });
  const queue = makeQueue({ advice: TICKETS });
  site.draining.add("e1");
  site.applyEndpointList();
  site.advance(200);
  site.submit(makeJob("a", [makeStep()], { queue }));
  site.advance(300);
  site.pollIntervalMs = 1_000;
  const target = site.endpoints.get("e0")!;
  target.getStopMs = () => LONGEST_STOP_MS;
  target.restart(site.now);
  site.submit(makeJob("b", [makeStep()], { queue }));
  site.advance(300);
  site.draining.delete("e1");
  site.draining.add("e0");
  site.applyEndpointList();
  const starts = site.checker.starts;
  t.is(starts, 2);
  site.advance(ALL_ORDERS_SETTLED_MS);
  t.deepEqual(site.checker.violations, []);
  t.is(site.checker.starts - starts, 1);
  t.is(site.find("a"), JobState.Completed);
  t.is(site.find("b"), JobState.Completed);
});

// Guards against a task that is started elsewhere while it runs: the answer to its start
// overtook the listing that showed the restart, and the clock in it was one that the former
// lifetime could show as well.
test("a clock that shows a time of the former lifetime does not make a run one of it", (t) => {
  const site = new CellSite({ endpoints: 2, afterMs: 3_000 });
  site.advance(50);
  site.pollIntervalMs = Number.MAX_SAFE_INTEGER;
  site.advance(4_000);
  for (const fake of site.endpoints.values()) fake.restart(site.now);
  site.advance(100);
  const askedAt = site.now;
  const listings = new Map(
    [...site.endpoints.keys()].map((id) => [id, makeListing(site, { id })]),
  );
  site.submit(makeJob("a", [makeStep()]));
  site.advance(100);
  t.is(site.checker.starts, 1);
  site.draining.add(site.findPlacement("a.0.0.0").id);
  for (const [id, listing] of listings) {
    applyListing(site, { id, listing, askedAt });
  }
  site.applyEndpointList();
  site.advance(800);
  site.pollIntervalMs = 100;
  site.advance(ALL_ORDERS_SETTLED_MS);
  t.deepEqual(site.checker.violations, []);
  t.is(site.checker.starts, 1);
  t.is(site.find("a"), JobState.Completed);
});

// Guards against a task that is done and runs again: its end was acknowledged unseen, as
// the clock of a restarted endpoint showed a time of the former lifetime.
test("ends wait for their acknowledgement while a start may have reached a later lifetime", (t) => {
  const site = new CellSite({ endpoints: 1, afterMs: 60_000 });
  site.advance(50);
  site.pollIntervalMs = Number.MAX_SAFE_INTEGER;
  site.advance(4_000);
  site.endpoints.get("e0")!.restart(site.now);
  site.advance(100);
  site.submit(makeJob("a", [makeStep()]));
  site.advance(100);
  const endpoint = site.cell.state.endpoints.get("e0")!;
  t.is(endpoint.runs.get("a.0.0.0")?.phase, RunPhase.Running);
  t.true(hasStartInDoubt(endpoint));
  site.pollIntervalMs = 100;
  site.advance(100);
  t.false(hasStartInDoubt(endpoint));
});

// Guards against runs that are lost for good: the start that a new lifetime states lies
// before that of the former one, as the time of day was stepped back.
test("a restart is noticed although the endpoint says that it started earlier than before", (t) => {
  const site = startSiteWithRun();
  const fake = site.endpoints.get("e0")!;
  const formerBornAt = fake.bornAt;
  fake.restart(site.now, formerBornAt - 5_000);
  site.advance(100);
  applyListing(site, { listing: makeListing(site), askedAt: site.now - 5 });
  t.is(site.cell.state.endpoints.get("e0")!.bornAt, formerBornAt - 5_000);
  // A task whose endpoint crashed right after its start waits for 500 ms.
  site.advance(1_000);
  t.is(site.checker.starts, 2);
});

// Guards against runs that are taken for gone: an answer of a former lifetime arrives
// after that of the current one, and states a later start.
test("a late listing of a former lifetime changes nothing, whatever start it states", (t) => {
  const site = startSiteWithRun();
  const fake = site.endpoints.get("e0")!;
  const endpoint = site.cell.state.endpoints.get("e0")!;
  const askedAt = site.now;
  const lateListings = [-5_000, 5_000].map((ms) =>
    makeListing(site, { bornAt: fake.bornAt + ms })
  );
  site.advance(50);
  const running = [makeListedRun("a.0.0.0")];
  applyListing(site, {
    listing: makeListing(site, { running }),
    askedAt: site.now - 5,
  });
  for (const listing of lateListings) applyListing(site, { listing, askedAt });
  t.is(endpoint.bornAt, fake.bornAt);
  t.is(endpoint.runs.get("a.0.0.0")?.phase, RunPhase.Running);
  site.advance(1_000);
  t.is(site.checker.starts, 1);
});

// Guards against a task that runs where its label is missing: the platform still shows
// the record of the endpoint's former lifetime, and the new one may be of another kind.
test("a restarted endpoint gets no task that needs a label until its record is of this lifetime", (t) => {
  const site = new CellSite({ endpoints: 1 });
  site.describeEndpoint = () => ({ labels: ["fast"], rack: "" });
  site.applyEndpointList();
  site.advance(200);
  site.endpoints.get("e0")!.restart(site.now);
  site.advance(200);
  site.submit(makeJob("a", [makeStep({ requiredLabel: "fast" })]));
  site.submit(makeJob("b", [makeStep()]));
  site.advance(2_000);
  t.is(site.find("b"), JobState.Completed);
  t.is(site.find("a"), JobState.Pending);
  site.applyEndpointList();
  site.advance(2_000);
  t.is(site.find("a"), JobState.Completed);
});
