import test from "ava";
import { OrderKind } from "../../packages/cell/mod.ts";
import { CellSite, makeJob, makeStep } from "./cell_site.ts";

const LONG_RUN_MS = 60_000;

/** Makes a site of two endpoints and a placement on `e0` that is being stored. */
function placeBeforeCommit(): CellSite {
  const site = new CellSite({ endpoints: 2, afterMs: LONG_RUN_MS });
  site.draining.add("e1");
  site.applyEndpointList();
  site.advance(200);
  site.commitMs = 500;
  site.submit(makeJob("a", [makeStep({ tasks: 2 })]));
  site.advance(600);
  site.draining.delete("e1");
  return site;
}

/** What happens to `e0` while the placement is being stored. */
const CHANGES: [string, (site: CellSite) => void][] = [
  ["drains", (site) => {
    site.draining.add("e0");
    site.applyEndpointList();
  }],
  ["has left the list", (site) => {
    const e0 = site.endpoints.get("e0")!;
    site.endpoints.delete("e0");
    site.applyEndpointList();
    site.endpoints.set("e0", e0);
  }],
  ["is cordoned for upkeep", (site) => {
    site.applyEndpointList();
    site.cell.setCordoned(new Set(["e0"]));
  }],
  ["does not answer", (site) => {
    site.applyEndpointList();
    const endpoint = site.cell.state.endpoints.get("e0")!;
    site.endpoints.get("e0")!.isUnreachable = true;
    endpoint.unresponsiveUntil = site.now + 2_000;
  }],
];

for (const [change, apply] of CHANGES) {
  // Guards against starts on an endpoint that stopped taking work while their placement
  // was being stored.
  test(`a stored start goes elsewhere if its endpoint ${change} meanwhile`, (t) => {
    const site = placeBeforeCommit();
    t.is(site.cell.state.endpoints.get("e0")?.runs.size, 2);
    apply(site);
    site.advance(3_000);
    t.is(site.checker.startsOn.get("e0"), undefined);
    t.is(site.checker.startsOn.get("e1"), 2);
    t.deepEqual(site.checker.violations, []);
  });
}

// Guards against starts beyond a quota that was lowered while their placement was being
// stored.
test("stored starts beyond a quota that was lowered meanwhile are not sent", (t) => {
  const site = new CellSite({ endpoints: 1, afterMs: LONG_RUN_MS });
  const setQuota = (milliCores: number) => {
    const cap = { milliCores, memoryMb: 0, accelerators: 0 };
    site.cell.updateOrganisations([{ name: "norte", weight: 9, cap }]);
  };
  setQuota(8_000);
  site.advance(200);
  site.commitMs = 500;
  site.submit(makeJob("a", [makeStep({ tasks: 8 })]));
  site.advance(600);
  t.is(site.cell.state.endpoints.get("e0")?.runs.size, 8);
  setQuota(3_000);
  site.advance(3_000);
  t.is(site.checker.starts, 3);
  setQuota(0);
  site.advance(3_000);
  t.is(site.checker.starts, 8);
});

// Guards against a gang of which some tasks start while the ticket of another has
// expired: they would wait for it and end.
test("no task of a gang is started if a ticket expired while its placement was stored", (t) => {
  const site = new CellSite({ endpoints: 2 });
  const { cell } = site;
  site.advance(200);
  cell.submit(makeJob("a", [makeStep({ tasks: 16, gang: true })]), site.time);
  cell.noteCommitted(cell.collectOutput(), site.now);
  cell.plan(site.time, { mayStart: true });
  const output = cell.collectOutput();
  const starts = output.orders.filter((order) =>
    order.kind === OrderKind.Start
  );
  t.is(starts.length, 16);
  starts[9].ticketEndsAt = site.now;
  t.deepEqual(
    cell.listStarts(output.orders, site.time, { mayStart: true }),
    [],
  );
  const { orders, decisions } = cell.collectOutput();
  t.deepEqual(orders, []);
  t.is(decisions.length, 16);
});
