import test from "ava";
import { UnknownEffectError } from "../../packages/base/mod.ts";
import { Admission } from "../../packages/cell/mod.ts";
import { AnswerKind } from "../../packages/scheduler/mod.ts";
import {
  NEXT_OWNER,
  parseEmptyJob,
  REQUEST,
  type ServiceSite,
  settle,
  startService,
} from "./service_site.ts";
import { VirtualTime } from "./virtual_time.ts";

/** Least time that a submission is taken to need, in milliseconds. */
const MIN_CALL_MS = 50;
const ANSWER_MARGIN_MS = 150;

function startLateService(refusesLate = true): Promise<ServiceSite> {
  return startService(new VirtualTime(), { refusesLate });
}

/**
 * Submits with a deadline of 1 s while there is no owner; the next one is known 10 ms
 * before the entry gives up, and does not answer in that time.
 */
async function submitJustBeforeDeadline(
  { service, gateway, time, handlers }: ServiceSite,
) {
  let received = 0;
  handlers["job.submit"] = () => {
    received++;
    return new Promise(() => {});
  };
  gateway.setOwner(undefined, false);
  time.schedule(
    "test",
    1_000 - ANSWER_MARGIN_MS - 10,
    () => gateway.setOwner(NEXT_OWNER, true),
  );
  const request = { ...REQUEST, deadlineMs: 1_000 };
  const pending = service.submit(request, parseEmptyJob);
  const { answer } = await settle(time, pending);
  await time.advance(100);
  return { answer, received };
}

// Guards against 504 for a request that no owner could have answered in time: callers
// may not repeat it, although it never ran.
test("a submission that cannot be answered in time is refused as not run, and is not sent", async (t) => {
  const { answer, received } = await submitJustBeforeDeadline(
    await startLateService(),
  );
  t.is(answer.kind, AnswerKind.Unavailable);
  t.true(answer.retryAfterMs! >= 1_000);
  t.is(received, 0);
});

test("without the setting, such a submission is sent and its effect is unknown", async (t) => {
  const { answer, received } = await submitJustBeforeDeadline(
    await startLateService(false),
  );
  t.is(answer.kind, AnswerKind.Unknown);
  t.is(received, 1);
});

test("without an owner, it is refused as soon as it cannot be answered in time", async (t) => {
  const { service, gateway, time } = await startLateService();
  gateway.setOwner(undefined, false);
  const request = { ...REQUEST, deadlineMs: 1_000 };
  const { answer, elapsedMs } = await settle(
    time,
    service.submit(request, parseEmptyJob),
  );
  t.is(answer.kind, AnswerKind.Unavailable);
  t.true(
    elapsedMs <= 1_000 - ANSWER_MARGIN_MS - MIN_CALL_MS + 10,
    `${elapsedMs}`,
  );
});

// Guards against a false "not run": the first attempt may have had an effect, so that a
// later one, however late, must not be refused.
test("a submission that has been sent is never refused as not run for being late", async (t) => {
  const { service, gateway, time, handlers } = await startLateService();
  handlers["job.submit"] = () => Promise.reject(new UnknownEffectError("lost"));
  const request = { ...REQUEST, deadlineMs: 500 };
  const pending = service.submit(request, parseEmptyJob);
  await time.advance(10);
  gateway.setOwner(undefined, false);
  t.is((await settle(time, pending)).answer.kind, AnswerKind.Unknown);
  const late = { ...REQUEST, deadlineMs: 160 };
  const repeated = await settle(time, service.submit(late, parseEmptyJob));
  t.is(repeated.answer.kind, AnswerKind.Unknown);
});

test("a slow owner raises the time that a submission needs, within a bound", async (t) => {
  const { service, gateway, time, handlers } = await startLateService();
  const submit = async (deadlineMs: number, n: number) => {
    const request = { ...REQUEST, path: `/f/${n}`, deadlineMs };
    return (await settle(time, service.submit(request, parseEmptyJob))).answer
      .kind;
  };
  const accepted = { admission: Admission.Accepted, reason: "" } as const;
  handlers["job.submit"] = () =>
    new Promise((resolve) =>
      time.schedule("owner", 300, () => resolve(accepted))
    );
  for (let n = 0; n < 20; n++) {
    t.is(await submit(3_000, n), AnswerKind.Accepted);
  }
  t.is(await submit(400, 100), AnswerKind.Unavailable);
  t.is(await submit(1_000, 101), AnswerKind.Accepted);
  gateway.setOwner(undefined, false);
  t.is(await submit(400, 102), AnswerKind.Unavailable);
});

// Guards against an entry that refuses every submission for good: a few slow calls raise
// the prediction above the time of all its callers, and no call is sent to lower it.
test("after a slow owner, callers with short deadlines are served again", async (t) => {
  const { service, time, handlers } = await startLateService();
  let answerMs = 300;
  const accepted = { admission: Admission.Accepted, reason: "" } as const;
  handlers["job.submit"] = () =>
    new Promise((resolve) =>
      time.schedule("owner", answerMs, () => resolve(accepted))
    );
  const submit = async (deadlineMs: number, n: number) => {
    const request = { ...REQUEST, path: `/f/${n}`, deadlineMs };
    return (await settle(time, service.submit(request, parseEmptyJob))).answer
      .kind;
  };
  for (let n = 0; n < 20; n++) await submit(3_000, n);
  answerMs = 20;
  const kinds: AnswerKind[] = [];
  for (let n = 100; n < 130; n++) {
    kinds.push(await submit(400, n));
    await time.advance(1_000);
  }
  t.is(kinds[0], AnswerKind.Unavailable);
  t.deepEqual(new Set(kinds.slice(20)), new Set([AnswerKind.Accepted]));
});
