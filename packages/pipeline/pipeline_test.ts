import test from "ava";
import {
  BodyEncoding,
  Cause,
  makeMayHaveRunOutcome,
  makeRanOutcome,
  Verdict,
} from "../base/mod.ts";
import { EventCode } from "../events/mod.ts";
import { Site } from "../../tests/virtual/site.ts";

const BODY = { queue: "all", body: "{}" };

/** An answer to other work than that of the test. */
const ANSWER = {
  task: "t",
  endpoint: "w",
  status: 200,
  contentType: "",
  encoding: BodyEncoding.Utf8,
  body: "",
};

async function startEntry() {
  const site = new Site(6);
  await site.start();
  const [{ node }] = site.entries.values();
  const authorization = `Bearer ${site.keys.get("ox")}`;
  const events: EventCode[] = [];
  node.parts.log.record = (code) => void events.push(code);
  const submit = () => node.submit({ ...BODY, authorization });
  return { node, events, submit };
}

// Guards against a request that stays without an outcome after an error: its caller
// waited, the count of pending requests stayed, and the entry never finished a drain.
test("an outcome that contradicts itself becomes `may have run` and leaves nothing pending", async (t) => {
  const { node, submit } = await startEntry();
  node.route = () =>
    Promise.resolve({
      ...makeRanOutcome([ANSWER], Cause.NoEndpoint),
      verdict: Verdict.NotRun,
    });
  const outcome = await submit().outcome;
  t.is(outcome.verdict, Verdict.MayHaveRun);
  t.is(outcome.cause, Cause.EntryLost);
  t.is(node.workRegistry.pending, 0);
});

test("an error after the dispatch becomes `may have run`, one before it `not run`", async (t) => {
  const { node, submit } = await startEntry();
  node.route = () => Promise.reject(new Error("broken"));
  t.is((await submit().outcome).verdict, Verdict.MayHaveRun);
  node.checkAdmission = () => {
    throw new Error("broken");
  };
  t.is((await submit().outcome).verdict, Verdict.NotRun);
  t.is(node.workRegistry.pending, 0);
});

test("a lost attempt and an incomplete answer are logged", async (t) => {
  const { node, events, submit } = await startEntry();
  node.route = () =>
    Promise.resolve(makeMayHaveRunOutcome(Cause.EndpointLost, "no answer"));
  await submit().outcome;
  t.deepEqual(events, [EventCode.AttemptLost]);
  node.route = () => Promise.resolve(makeRanOutcome([ANSWER]));
  const outcome = await submit().outcome;
  t.is(outcome.verdict, Verdict.MayHaveRun);
  t.deepEqual(events.slice(1), [
    EventCode.AnswerDropped,
    EventCode.AttemptLost,
  ]);
});
