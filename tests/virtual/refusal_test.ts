import test from "ava";
import { AnswerKind } from "../../packages/scheduler/mod.ts";
import { makeStep } from "../cell/cell_site.ts";
import { StoreFault } from "./memory_store.ts";
import { type OwnerEntry, OwnerSite } from "./owner_site.ts";
import {
  parseEmptyJob,
  REQUEST,
  type ServiceSite,
  settle,
  startService,
} from "./service_site.ts";

/** A job of one task. */
const parseJob = () => ({ ...parseEmptyJob(), steps: [makeStep()] });

/** Advances the time until another entry than `former` owns the cell. */
async function waitForOwner(
  site: OwnerSite,
  former?: OwnerEntry,
): Promise<OwnerEntry> {
  for (let waitedMs = 0; waitedMs < 5_000; waitedMs += 10) {
    const owner = site.entries.find((entry) =>
      entry !== former && entry.role?.isReady
    );
    if (owner) return owner;
    await site.time.advance(10);
  }
  throw new Error("No entry owns the cell");
}

/** Sends the calls of the caller service to this owner. */
function followOwner(service: ServiceSite, owner: OwnerEntry): void {
  const { role } = owner;
  service.handlers["job.submit"] = ({ job }) => role!.submit(job);
  service.gateway.setOwner(role!.ownership.record, true);
}

async function startSite(): Promise<{
  site: OwnerSite;
  service: ServiceSite;
  owner: OwnerEntry;
}> {
  const site = new OwnerSite(1, { entries: 2, endpoints: 1 });
  const service = await startService(site.time);
  const owner = await waitForOwner(site);
  followOwner(service, owner);
  return { site, service, owner };
}

// Guards against REFUSED: a commit of the lost owner had taken effect, and the next
// owner, which had read it, refused the repeated request because its store stalled.
test("an owner is lost after a commit and the next one's store stalls: the job is not refused", async (t) => {
  const { site, service, owner } = await startSite();
  owner.store.fault = StoreFault.LostAnswer;
  const pending = service.service.submit(REQUEST, parseJob);
  await site.time.advance(100);
  site.time.kill(owner.name);
  service.gateway.setOwner(undefined, false);
  const nextOwner = await waitForOwner(site, owner);
  t.true(nextOwner.role!.cell.hasJob("1"));
  nextOwner.store.fault = StoreFault.Timeout;
  await site.time.advance(800);
  followOwner(service, nextOwner);
  t.is((await settle(site.time, pending)).answer.kind, AnswerKind.Accepted);
});

// Guards against REFUSED: the next owner had taken the repeated request in, its
// commit got no answer, and its refusal of a third attempt passed for proof.
test("an owner is lost and the next one's commit is late: the job that runs later is not refused", async (t) => {
  const { site, service, owner } = await startSite();
  owner.store.fault = StoreFault.Timeout;
  const pending = service.service.submit(REQUEST, parseJob);
  await site.time.advance(100);
  site.time.kill(owner.name);
  service.gateway.setOwner(undefined, false);
  const nextOwner = await waitForOwner(site, owner);
  t.false(nextOwner.role!.cell.hasJob("1"));
  nextOwner.store.fault = StoreFault.AppliedLate;
  followOwner(service, nextOwner);
  t.is((await settle(site.time, pending)).answer.kind, AnswerKind.Unknown);
  nextOwner.store.fault = StoreFault.None;
  await site.time.advance(10_000);
  t.truthy(nextOwner.role?.find("1", ""));
});
