import test from "ava";
import { Cause, makeNotRunOutcome, makeRanOutcome } from "../base/mod.ts";
import type { RequestContext } from "../pipeline/mod.ts";
import { WorkRegistry } from "./work_registry.ts";

function makeContext(id: string, team?: string): RequestContext {
  return { raw: { id }, team } as unknown as RequestContext;
}

// Guards against memory that callers without a key fill for ten minutes.
test("a refused request without a team is forgotten at once", (t) => {
  const registry = new WorkRegistry(10);
  const outcome = makeNotRunOutcome(Cause.Unauthenticated, "");
  registry.add(makeContext("1"));
  registry.add(makeContext("2", "norte"));
  for (const id of ["1", "2"]) registry.finish(id, outcome, { now: 0 });
  t.is(registry.size, 1);
  t.is(registry.pending, 0);
  t.deepEqual(registry.describe("2", "norte")?.outcome, outcome);
});

test("the oldest final outcome makes room for another, started services stay", (t) => {
  const registry = new WorkRegistry(2);
  const outcomes = [
    makeRanOutcome([], Cause.Started),
    ...Array.from({ length: 3 }, () => makeNotRunOutcome(Cause.QueueFull, "")),
  ];
  for (const [n, outcome] of outcomes.entries()) {
    registry.add(makeContext(String(n), "norte"));
    registry.finish(String(n), outcome, { now: n });
  }
  const known = outcomes.map((_, n) => registry.describe(String(n), "norte"));
  t.deepEqual(known.map((view) => view !== null), [true, false, true, true]);
  t.is(registry.droppedCount, 1);
  registry.expire(10);
  t.is(registry.size, 0);
});
