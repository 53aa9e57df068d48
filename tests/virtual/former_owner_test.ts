import test from "ava";
import { makeJob, makeStep } from "../cell/cell_site.ts";
import { OwnerSite } from "./owner_site.ts";

const RUN_MS = 60_000;

/** Site of two entries and two endpoints whose first owner reaches only `w0`. */
async function startSite() {
  const site = new OwnerSite(5, { entries: 2, endpoints: 2 });
  site.drawRunTime = () => RUN_MS;
  await site.time.advance(1_000);
  const owner = site.entries.find(({ role }) => role);
  const other = site.entries.find(({ role }) => !role);
  if (!owner || !other) throw new Error("no owner");
  return { site, owner, other };
}

function findRecord(site: OwnerSite) {
  const item = site.state.items.get("baobabhead/cell/owner");
  return JSON.parse(item?.value ?? "");
}

// Guards against a former owner that renews leases although its key was claimed by
// an entry that took it for dead: its own lease of the store goes on.
test("a former owner that was taken for dead renews no leases until they are taken as expired", async (t) => {
  const { site, owner, other } = await startSite();
  owner.control.unreachableEndpoints.add("w1");
  await site.time.advance(3_000);
  owner.submit(makeJob("a", [makeStep()]), () => {});
  await site.time.advance(1_000);
  t.is(site.checker.starts, 1);
  other.control.unreachableEndpoints.add("w0");
  other.election.claimFromDeadOwner(findRecord(site));
  await site.time.advance(1_000);
  t.truthy(other.role);
  await site.time.advance(30_000);
  t.deepEqual(site.checker.violations, []);
});

// Guards against a second run of an adopted task whose former owner granted a longer
// lease than usual, as its estimate of the endpoint's clock was old.
test("the lease of an adopted run is taken as the longest that the endpoint grants", async (t) => {
  const { site, owner, other } = await startSite();
  for (const fake of site.endpoints.values()) fake.clockRate = 0.98;
  owner.control.unreachableEndpoints.add("w1");
  // Without runs the endpoint is not polled, and the estimate grows old.
  await site.time.advance(150_000);
  owner.submit(makeJob("a", [makeStep()]), () => {});
  const w0 = site.endpoints.get("w0");
  for (let n = 0; n < 100 && w0?.runs.size === 0; n++) {
    await site.time.advance(5);
  }
  t.is(w0?.runs.size, 1);
  const record = findRecord(site);
  site.time.kill(owner.name);
  owner.role = undefined;
  other.election.claimFromDeadOwner(record);
  const isAdopted = () =>
    (other.role?.cell.state.endpoints.get("w0")?.runs.size ?? 0) > 0;
  for (let n = 0; n < 100 && !isAdopted(); n++) await site.time.advance(5);
  t.true(isAdopted());
  other.control.unreachableEndpoints.add("w0");
  await site.time.advance(30_000);
  t.deepEqual(site.checker.violations, []);
});
