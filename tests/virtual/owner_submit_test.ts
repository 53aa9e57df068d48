import test from "ava";
import { Admission } from "../../packages/cell/mod.ts";
import type { SubmitReply } from "../../packages/links/mod.ts";
import { makeJob, makeStep } from "../cell/cell_site.ts";
import { StoreFault } from "./memory_store.ts";
import { OwnerSite } from "./owner_site.ts";

test("a store that stalls: new jobs are refused, but never one that was accepted before", async (t) => {
  const site = new OwnerSite(1, { entries: 1, endpoints: 1 });
  const [entry] = site.entries;
  await site.time.advance(1_000);
  const submit = async (id: string): Promise<SubmitReply | undefined> => {
    let reply: SubmitReply | undefined;
    void entry.role?.submit(makeJob(id, [makeStep()]))
      .then((settled) => reply = settled);
    await site.time.advance(100);
    return reply;
  };
  const getAdmission = (reply: SubmitReply | undefined) =>
    reply?.isUnknown ? undefined : reply?.admission;
  t.is(getAdmission(await submit("j1")), Admission.Accepted);
  entry.store.fault = StoreFault.Timeout;
  t.is(await submit("j2"), undefined);
  await site.time.advance(800);
  t.is(getAdmission(await submit("j3")), Admission.StoreStalled);
  t.is(getAdmission(await submit("j1")), Admission.Known);
  // The acceptance of this job may still be committed: no answer yet.
  t.is(await submit("j2"), undefined);
});
