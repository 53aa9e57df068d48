import test from "ava";
import { Admission } from "../../packages/cell/mod.ts";
import { EndKind, JobState } from "../../packages/jobs/mod.ts";
import type { SubmitReply } from "../../packages/links/mod.ts";
import { makeJob, makeStep } from "../cell/cell_site.ts";
import { type OwnerEntry, OwnerSite } from "./owner_site.ts";

const ID = "0000000000000001";
const FIRST = makeJob(ID, [makeStep()], { payload: "filing of norte" });
const SECOND = { ...FIRST, organisation: "sur", payload: "filing of sur" };

/** Submits a job at an entry and returns the reply, within `waitMs`. */
async function submit(
  site: OwnerSite,
  { role }: OwnerEntry,
  job: typeof FIRST,
): Promise<SubmitReply | undefined> {
  let reply: SubmitReply | undefined;
  site.recordJob(FIRST);
  void role?.submit(job).then((result) => reply = result);
  await site.time.advance(100);
  return reply;
}

function getAdmission(reply: SubmitReply | undefined): Admission | undefined {
  return reply?.isUnknown ? undefined : reply?.admission;
}

// Guards against a job that is answered as accepted and is not stored, because another
// organisation has a job with its id.
test("an id that another organisation uses is refused, while its job runs and once it has ended", async (t) => {
  const site = new OwnerSite(1, { entries: 2, endpoints: 1 });
  site.drawRunTime = () => 500;
  site.drawEndKind = () => EndKind.Done;
  await site.time.advance(1_000);
  const owner = site.entries.find(({ role }) => role);
  if (!owner) return t.fail();
  t.is(getAdmission(await submit(site, owner, FIRST)), Admission.Accepted);
  t.is(getAdmission(await submit(site, owner, SECOND)), Admission.IdTaken);
  t.is(getAdmission(await submit(site, owner, FIRST)), Admission.Known);
  await site.time.advance(2_000);
  t.is(owner.role?.find(ID, "norte")?.state, JobState.Completed);
  t.is(getAdmission(await submit(site, owner, SECOND)), Admission.IdTaken);
  t.is(owner.role?.find(ID, "sur"), undefined);
  site.time.kill(owner.name);
  await site.time.advance(5_000);
  const next = site.entries.find((entry) => entry !== owner && entry.role);
  if (!next) return t.fail();
  t.is(getAdmission(await submit(site, next, SECOND)), Admission.IdTaken);
  t.is(getAdmission(await submit(site, next, FIRST)), Admission.Known);
  t.is(site.checker.starts, 1);
});
