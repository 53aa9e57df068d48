/**
 * Shows that the checks can fail: each test breaks one mechanism on purpose
 * and expects that a randomised run notices.
 */
import test, { type ExecutionContext } from "ava";
import { Cause, makeNotRunOutcome, Verdict } from "../../packages/base/mod.ts";
import {
  EndpointLedger,
  EndpointState,
  EngineState,
} from "../../packages/engine/mod.ts";
import { EntryNode } from "../../packages/entry/mod.ts";
import { KeyHome, KeyStateKind } from "../../packages/idempotency/mod.ts";
import { VmTracker } from "../../packages/membership/mod.ts";
import { Pipeline } from "../../packages/pipeline/mod.ts";
import { type Fault, FaultKind } from "./faults.ts";
import { runSite } from "./run.ts";

/** Replaces methods of a prototype for one test. */
function breakMethods(
  t: ExecutionContext,
  // deno-lint-ignore no-explicit-any
  prototype: any,
  replacements: Record<string, unknown>,
): void {
  for (const [name, replacement] of Object.entries(replacements)) {
    const original = Object.getOwnPropertyDescriptor(prototype, name)!;
    const value = replacement;
    Object.defineProperty(prototype, name, { ...original, value });
    t.teardown(() => Object.defineProperty(prototype, name, original));
  }
}

async function expectFault(
  t: ExecutionContext,
  faults: Fault[],
  expected: RegExp,
): Promise<void> {
  const report = await runSite(7, faults);
  t.true(
    report.faults.some((fault) => expected.test(fault)),
    `found ${JSON.stringify(report.faults.slice(0, 3))}`,
  );
}

const NOISE: Fault[] = [
  { at: 500, kind: FaultKind.TaskNoise, lastsMs: 10_000, target: 1 },
  { at: 600, kind: FaultKind.CallNoise, lastsMs: 10_000, target: 1 },
];

test.serial("finds an endpoint that is given too much", async (t) => {
  breakMethods(t, EndpointLedger.prototype, {
    fits: () => true,
    reserve(
      this: EndpointLedger,
      hold: Parameters<EndpointLedger["adopt"]>[0],
    ) {
      this.adopt(hold);
    },
  });
  await expectFault(t, [], /tasks on 3 slots|of 4 cores/);
});

test.serial("finds a team above its limit", async (t) => {
  breakMethods(t, EngineState.prototype, { hasGrant: () => true });
  await expectFault(t, [], /runs \d+ tasks, limit/);
});

test.serial("finds a filing that runs twice", async (t) => {
  breakMethods(t, KeyHome.prototype, {
    begin: () => ({ kind: KeyStateKind.New }),
  });
  await expectFault(t, NOISE, /started \d+ times/);
});

test.serial("finds a false `not run`", async (t) => {
  const original = Pipeline.prototype.run;
  breakMethods(t, Pipeline.prototype, {
    async run(
      this: Pipeline,
      ...args: Parameters<Pipeline["run"]>
    ) {
      const outcome = await original.apply(this, args);
      if (outcome.verdict !== Verdict.MayHaveRun) return outcome;
      return makeNotRunOutcome(Cause.EndpointLost, outcome.detail);
    },
  });
  await expectFault(t, NOISE, /told not run, but/);
});

test.serial("finds an answer that belongs to another request", async (t) => {
  const original = Pipeline.prototype.run;
  let last: Awaited<ReturnType<Pipeline["run"]>> | undefined;
  breakMethods(t, Pipeline.prototype, {
    async run(
      this: Pipeline,
      ...args: Parameters<Pipeline["run"]>
    ) {
      const outcome = await original.apply(this, args);
      const crossed = last;
      last = outcome.verdict === Verdict.Ran ? outcome : last;
      return outcome.verdict === Verdict.Ran && crossed ? crossed : outcome;
    },
  });
  await expectFault(t, [], /answer of/);
});

test.serial("finds a key that works after it was withdrawn", async (t) => {
  const first = new Map<EntryNode, unknown>();
  const original = EntryNode.prototype.getConfiguration;
  breakMethods(t, EntryNode.prototype, {
    getConfiguration(this: EntryNode) {
      const now = original.apply(this);
      const isEmpty = Object.keys(now.keys).length === 0;
      if (!isEmpty && !first.has(this)) first.set(this, now);
      return first.get(this) ?? now;
    },
  });
  const fault = { kind: FaultKind.WithdrawKey, lastsMs: 6_000, target: 2 };
  await expectFault(t, [{ at: 500, ...fault }], /with a key withdrawn/);
});

test.serial("finds a take-over without evidence", async (t) => {
  breakMethods(t, VmTracker.prototype, {
    findGone: (subjects: Iterable<{ id: string }>) =>
      new Set(
        [...subjects].map(({ id }) => id).filter((id) => id.includes("/")),
      ),
  });
  await expectFault(t, [], /tasks on|of 4 cores|limit|no outcome|not_ready/);
});

test.serial("finds a new owner that does not count what runs", async (t) => {
  breakMethods(t, EndpointLedger.prototype, { adopt: () => {} });
  const kill = { kind: FaultKind.Kill, lastsMs: 100 };
  const faults = [0, 1, 2, 3, 4, 5].map((target) => ({
    at: 1_000 + 1_500 * target,
    target,
    ...kill,
  }));
  await expectFault(t, faults, /tasks on 3 slots|of 4 cores/);
});

test.serial("finds a drain that cuts requests", async (t) => {
  breakMethods(t, EntryNode.prototype, { isIdle: () => true });
  const faults = [0, 1, 2].map((target) => ({
    at: 1_000 + 3_000 * target,
    kind: FaultKind.Drain,
    lastsMs: 3_000,
    target,
  }));
  await expectFault(t, faults, /cut by a drain/);
});

test.serial("finds work for an endpoint that is leaving", async (t) => {
  const original = Object.getOwnPropertyDescriptor(
    EndpointState.prototype,
    "status",
  )!;
  Object.defineProperty(EndpointState.prototype, "status", {
    ...original,
    get(this: EndpointState) {
      this.leaving = false;
      return original.get!.call(this);
    },
  });
  t.teardown(() =>
    Object.defineProperty(EndpointState.prototype, "status", original)
  );
  const fault = { kind: FaultKind.EndpointLeaving, lastsMs: 9_000, target: 1 };
  await expectFault(t, [{ at: 500, ...fault }], /got work while leaving/);
});
