/**
 * Mutation tests of the invariant checks: each test disables one mechanism and
 * expects that a randomised run reports the violation.
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
import { runSite } from "./run_site.ts";

/** Replaces methods of a prototype for one test. */
function replaceMethods(
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

/** Runs a site and expects a violation that matches a pattern. */
async function expectViolation(
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

const NOISE_FAULTS: Fault[] = [
  { at: 500, kind: FaultKind.TaskNoise, lastsMs: 10_000, target: 1 },
  { at: 600, kind: FaultKind.CallNoise, lastsMs: 10_000, target: 1 },
];

test.serial("detects an endpoint that runs more than its slots or cores", async (t) => {
  replaceMethods(t, EndpointLedger.prototype, {
    fits: () => true,
    reserve(
      this: EndpointLedger,
      hold: Parameters<EndpointLedger["adopt"]>[0],
    ) {
      this.adopt(hold);
    },
  });
  await expectViolation(t, [], /tasks on 3 slots|of 4 cores/);
});

test.serial("detects a team above its limit", async (t) => {
  replaceMethods(t, EngineState.prototype, { hasGrant: () => true });
  await expectViolation(t, [], /runs \d+ tasks, limit/);
});

test.serial("detects a request that runs twice", async (t) => {
  replaceMethods(t, KeyHome.prototype, {
    begin: () => ({ kind: KeyStateKind.New }),
  });
  await expectViolation(t, NOISE_FAULTS, /started \d+ times/);
});

test.serial("detects work that ran but is reported as not run", async (t) => {
  const original = Pipeline.prototype.run;
  replaceMethods(t, Pipeline.prototype, {
    async run(
      this: Pipeline,
      ...args: Parameters<Pipeline["run"]>
    ) {
      const outcome = await original.apply(this, args);
      if (outcome.verdict !== Verdict.MayHaveRun) return outcome;
      return makeNotRunOutcome(Cause.EndpointLost, outcome.detail);
    },
  });
  await expectViolation(t, NOISE_FAULTS, /reported as not run, but/);
});

test.serial("detects an answer of another request", async (t) => {
  const original = Pipeline.prototype.run;
  let lastRanOutcome: Awaited<ReturnType<Pipeline["run"]>> | undefined;
  replaceMethods(t, Pipeline.prototype, {
    async run(
      this: Pipeline,
      ...args: Parameters<Pipeline["run"]>
    ) {
      const outcome = await original.apply(this, args);
      const previousOutcome = lastRanOutcome;
      lastRanOutcome = outcome.verdict === Verdict.Ran
        ? outcome
        : lastRanOutcome;
      return outcome.verdict === Verdict.Ran && previousOutcome
        ? previousOutcome
        : outcome;
    },
  });
  await expectViolation(t, [], /answer of/);
});

test.serial("detects a key that is accepted after it was revoked", async (t) => {
  const firstConfigurations = new Map<EntryNode, unknown>();
  const original = EntryNode.prototype.getConfiguration;
  replaceMethods(t, EntryNode.prototype, {
    getConfiguration(this: EntryNode) {
      const configuration = original.apply(this);
      const isEmpty = Object.keys(configuration.keys).length === 0;
      if (!isEmpty && !firstConfigurations.has(this)) {
        firstConfigurations.set(this, configuration);
      }
      return firstConfigurations.get(this) ?? configuration;
    },
  });
  const fault = { kind: FaultKind.WithdrawKey, lastsMs: 6_000, target: 2 };
  await expectViolation(t, [{ at: 500, ...fault }], /with a key revoked/);
});

test.serial("detects a take-over from an entry that has not ended", async (t) => {
  // Every entry counts as gone: of the subjects, only the incarnations of
  // entries have a slash in their id.
  replaceMethods(t, VmTracker.prototype, {
    findGone: (subjects: Iterable<{ id: string }>) =>
      new Set(
        [...subjects].map(({ id }) => id).filter((id) => id.includes("/")),
      ),
  });
  await expectViolation(
    t,
    [],
    /tasks on|of 4 cores|limit|no outcome|not_ready/,
  );
});

test.serial("detects a new owner that does not count running tasks", async (t) => {
  replaceMethods(t, EndpointLedger.prototype, { adopt: () => {} });
  const kill = { kind: FaultKind.Kill, lastsMs: 100 };
  const faults = [0, 1, 2, 3, 4, 5].map((target) => ({
    at: 1_000 + 1_500 * target,
    target,
    ...kill,
  }));
  await expectViolation(t, faults, /tasks on 3 slots|of 4 cores/);
});

test.serial("detects a drain that interrupts requests", async (t) => {
  replaceMethods(t, EntryNode.prototype, { isIdle: () => true });
  const faults = [0, 1, 2].map((target) => ({
    at: 1_000 + 3_000 * target,
    kind: FaultKind.Drain,
    lastsMs: 3_000,
    target,
  }));
  await expectViolation(t, faults, /interrupted by a drain/);
});

test.serial("detects work started on an endpoint that is leaving", async (t) => {
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
  await expectViolation(
    t,
    [{ at: 500, ...fault }],
    /received work while leaving/,
  );
});
