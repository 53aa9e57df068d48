import test from "ava";
import { Cell } from "../cell/mod.ts";
import { LoadKind, OwnerLoad } from "./owner_load.ts";

test("an owner that is late shows what took its time, once a second", (t) => {
  const { state } = new Cell({ term: 1, retentionMs: 1_000, leaseMs: 4_000 });
  const load = new OwnerLoad();
  t.is(load.collectReport(state, 10_000), undefined);
  load.note(LoadKind.Plan, 40);
  load.note(LoadKind.Plan, 120);
  load.note(LoadKind.StartUnanswered, 640);
  t.is(load.collectReport(state, 10_900), undefined);
  const report = load.collectReport(state, 11_250);
  t.like(report, {
    elapsedMs: 1_250,
    plan: 2,
    planMs: 160,
    planMaxMs: 120,
    startUnanswered: 1,
    startUnansweredMaxMs: 640,
    freeMilliCores: 0,
  });
  t.is(load.collectReport(state, 12_500)?.plan, undefined);
});
