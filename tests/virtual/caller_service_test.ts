import test from "ava";
import { UnknownEffectError } from "../../packages/base/mod.ts";
import { Admission } from "../../packages/cell/mod.ts";
import { LinkBusyError } from "../../packages/links/mod.ts";
import {
  AnswerKind,
  OWNER_CALL_TIMEOUT_MS,
  OWNER_WAIT_MS,
  UNSETTLED_RETENTION_MS,
} from "../../packages/scheduler/mod.ts";
import { StoreFault } from "./memory_store.ts";
import {
  NEXT_OWNER,
  OWNER,
  parseEmptyJob,
  REQUEST,
  settle,
  startService,
} from "./service_site.ts";

test("a query without an answer is unavailable and has a retry delay", async (t) => {
  const { service, time } = await startService();
  for (
    const pending of [service.find(REQUEST, "1"), service.count(REQUEST)]
  ) {
    const { answer } = await settle(time, pending);
    t.is(answer.kind, AnswerKind.Unavailable);
    t.true(answer.retryAfterMs! > 0);
  }
});

test("a submission or cancellation without an answer has an unknown effect", async (t) => {
  const { service, time } = await startService();
  for (
    const pending of [
      service.submit(REQUEST, parseEmptyJob),
      service.cancel(REQUEST, "1"),
    ]
  ) {
    const { answer } = await settle(time, pending);
    t.is(answer.kind, AnswerKind.Unknown);
  }
});

// The owner refused such a job with 429, which asks the caller to come again.
test("a job with a text that can never be accepted is rejected without an owner", async (t) => {
  const { service, time } = await startService();
  for (const text of [{ payload: "牛".repeat(1_334) }, { id: "a.b" }]) {
    const parse = () => ({ ...parseEmptyJob(), ...text });
    const { answer, elapsedMs } = await settle(
      time,
      service.submit(REQUEST, parse),
    );
    t.is(answer.kind, AnswerKind.BadRequest);
    t.true(elapsedMs <= 10);
  }
});

// Guards against a promise "not run" for a submission of which an earlier attempt may run.
test("a busy owner: refused at once as not run, unless an attempt may have run", async (t) => {
  const { service, time, handlers } = await startService();
  const submit = () => settle(time, service.submit(REQUEST, parseEmptyJob));
  const refuse = () =>
    service.refuse(REQUEST, { isSubmission: true, reason: "no room" }).kind;
  handlers["job.submit"] = () => Promise.reject(new LinkBusyError("busy"));
  const { answer, elapsedMs } = await submit();
  t.is(answer.kind, AnswerKind.Unavailable);
  t.true(answer.retryAfterMs! > 0);
  t.true(elapsedMs <= 10, `${elapsedMs} ms`);
  t.is(refuse(), AnswerKind.Unavailable);
  delete handlers["job.submit"];
  t.is((await submit()).answer.kind, AnswerKind.Unknown);
  handlers["job.submit"] = () => Promise.reject(new LinkBusyError("busy"));
  t.is((await submit()).answer.kind, AnswerKind.Unknown);
  t.is(refuse(), AnswerKind.Unknown);
});

test("an owner that stalls: the caller is told at once that the effect is unknown", async (t) => {
  const { service, time, handlers } = await startService();
  handlers["job.submit"] = () => new Promise(() => {});
  const { answer, elapsedMs } = await settle(
    time,
    service.submit(REQUEST, parseEmptyJob),
  );
  t.is(answer.kind, AnswerKind.Unknown);
  t.true(elapsedMs <= OWNER_CALL_TIMEOUT_MS + 20, `${elapsedMs} ms`);
});

test("a change of owner: a submission whose answer was lost is settled by the next owner", async (t) => {
  const { service, gateway, time, handlers } = await startService();
  const pending = service.submit(REQUEST, parseEmptyJob);
  gateway.setOwner(undefined, false);
  await time.advance(900);
  handlers["job.submit"] = () => ({ admission: Admission.Known, reason: "" });
  gateway.setOwner(NEXT_OWNER, true);
  const { answer } = await settle(time, pending);
  t.is(answer.kind, AnswerKind.Accepted);
});

test("a change of owner: requests wait for the next owner", async (t) => {
  const { service, gateway, time, handlers } = await startService();
  gateway.setOwner(undefined, false);
  const pending = service.submit(REQUEST, parseEmptyJob);
  await time.advance(900);
  handlers["job.submit"] = () => ({
    admission: Admission.Accepted,
    reason: "",
  });
  gateway.setOwner(NEXT_OWNER, true);
  const { answer, elapsedMs } = await settle(time, pending);
  t.is(answer.kind, AnswerKind.Accepted);
  t.true(elapsedMs <= 100, `${elapsedMs} ms after the owner was known`);
});

test("an owner that is lost for good: requests are refused as not run after a bounded wait", async (t) => {
  const { service, gateway, time } = await startService();
  gateway.setOwner(undefined, false);
  const pending = service.submit(REQUEST, parseEmptyJob);
  const { answer, elapsedMs } = await settle(time, pending);
  t.is(answer.kind, AnswerKind.Unavailable);
  t.true(elapsedMs <= OWNER_WAIT_MS + 20);
});

test("a stopping entry answers requests without an owner before it is killed", async (t) => {
  const { service, gateway, time, handlers } = await startService();
  handlers["job.submit"] = () => new Promise(() => {});
  service.restrictAnswers(time.now + 500);
  const { answer, elapsedMs } = await settle(
    time,
    service.submit(REQUEST, parseEmptyJob),
  );
  t.is(answer.kind, AnswerKind.Unknown);
  t.true(elapsedMs <= 520, `${elapsedMs} ms`);
  gateway.setOwner(undefined, false);
  const otherRequest = { ...REQUEST, path: "/f/2" };
  const late = await settle(time, service.submit(otherRequest, parseEmptyJob));
  t.is(late.answer.kind, AnswerKind.Unavailable);
  t.true(late.elapsedMs <= 20, `${late.elapsedMs} ms`);
});

test("without an owner and without the store, requests are refused at once", async (t) => {
  const { service, gateway, time, store } = await startService();
  store.fault = StoreFault.Unavailable;
  gateway.setOwner(undefined, false);
  await time.advance(1_000);
  const { answer, elapsedMs } = await settle(
    time,
    service.submit(REQUEST, parseEmptyJob),
  );
  t.is(answer.kind, AnswerKind.Unavailable);
  t.true(elapsedMs <= 10);
});

test("after a lost answer, only a later owner's refusal proves that a job was not accepted", async (t) => {
  const refuse = () => ({ admission: Admission.Refused, reason: "full" });
  for (
    const [nextOwner, kind] of [
      [OWNER, AnswerKind.Unknown],
      [{ ...OWNER, term: 2 }, AnswerKind.Unknown],
      [NEXT_OWNER, AnswerKind.Refused],
    ] as const
  ) {
    const { service, gateway, time, handlers } = await startService();
    handlers["job.submit"] = () => new Promise(() => {});
    const pending = service.submit(REQUEST, parseEmptyJob);
    await time.advance(0);
    gateway.setOwner(undefined, false);
    handlers["job.submit"] = refuse;
    gateway.setOwner(nextOwner, true);
    t.is((await settle(time, pending)).answer.kind, kind);
  }
});

// Guards against a job that runs although its caller was told that it never
// would: with two lost answers, the refusal must be later than both attempts.
test("after two lost answers, the owner that may still receive one of them cannot refuse", async (t) => {
  const laterOwner = { ...OWNER, incarnation: "c/1", term: 3 };
  for (
    const [refusing, kind] of [
      [NEXT_OWNER, AnswerKind.Unknown],
      [{ ...OWNER, term: 3 }, AnswerKind.Unknown],
      [laterOwner, AnswerKind.Refused],
    ] as const
  ) {
    const { service, gateway, time, handlers } = await startService();
    let loseAnswer = () => {};
    handlers["job.submit"] = () =>
      new Promise((_, reject) => {
        loseAnswer = () => reject(new UnknownEffectError("the link broke"));
      });
    const pending = service.submit(REQUEST, parseEmptyJob);
    const loseOwner = async () => {
      await time.advance(100);
      gateway.setOwner(undefined, false);
      loseAnswer();
      await time.advance(100);
    };
    await loseOwner();
    gateway.setOwner(NEXT_OWNER, true);
    await loseOwner();
    const refusal = { admission: Admission.Refused, reason: "full" };
    handlers["job.submit"] = () => refusal;
    gateway.setOwner(refusing, true);
    t.is((await settle(time, pending)).answer.kind, kind);
  }
});

// Guards against a refusal that says "never runs" of a job that runs: the entry had
// told its caller before that the effect of the submission is unknown.
test("a repeated submission that may have had an effect is not refused as not run", async (t) => {
  const { service, gateway, time, handlers } = await startService();
  const submit = async (path = REQUEST.path) => {
    const pending = service.submit({ ...REQUEST, path }, parseEmptyJob);
    return (await settle(time, pending)).answer.kind;
  };
  handlers["job.submit"] = () => new Promise(() => {});
  t.is(await submit(), AnswerKind.Unknown);
  gateway.setOwner(undefined, false);
  t.is(await submit(), AnswerKind.Unknown);
  t.is(await submit("/f/2"), AnswerKind.Unavailable);
  const { answer } = await settle(time, service.find(REQUEST, "1"));
  t.is(answer.kind, AnswerKind.Unavailable);
  await time.advance(UNSETTLED_RETENTION_MS);
  t.is(await submit(), AnswerKind.Unavailable);
});

test("a submission that an owner settled is refused as not run when it is repeated", async (t) => {
  for (const admission of [Admission.Accepted, Admission.Refused] as const) {
    const { service, gateway, time, handlers } = await startService();
    handlers["job.submit"] = () => new Promise(() => {});
    const submit = async () =>
      (await settle(time, service.submit(REQUEST, parseEmptyJob))).answer.kind;
    t.is(await submit(), AnswerKind.Unknown);
    handlers["job.submit"] = () => ({ admission, reason: "" });
    gateway.setOwner(NEXT_OWNER, true);
    await submit();
    gateway.setOwner(undefined, false);
    t.is(await submit(), AnswerKind.Unavailable);
  }
});

// Guards against a false "not run": of two requests with one id, the one that was not
// sent forgot that the other one may have had an effect.
test("a submission that was not sent does not settle another one with its id", async (t) => {
  const { service, gateway, time, handlers } = await startService();
  gateway.setOwner(undefined, false);
  handlers["job.submit"] = () => new Promise(() => {});
  const first = service.submit({ ...REQUEST, deadlineMs: 500 }, parseEmptyJob);
  await time.advance(100);
  const second = service.submit(REQUEST, parseEmptyJob);
  t.is((await settle(time, first)).answer.kind, AnswerKind.Unknown);
  gateway.setOwner(NEXT_OWNER, true);
  t.is((await settle(time, second)).answer.kind, AnswerKind.Unknown);
  gateway.setOwner(undefined, false);
  const third = await settle(time, service.submit(REQUEST, parseEmptyJob));
  t.is(third.answer.kind, AnswerKind.Unknown);
});
