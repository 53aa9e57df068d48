import test from "ava";
import { collectTrace, renderTrace } from "./mod.ts";

const line = (time: number, fields: object) =>
  JSON.stringify({ level: 30, time, entry: "e1", msg: "m", ...fields });

test("collects a job's lines from all logs, sorted by time", (t) => {
  const firstLog = [
    line(30, { event: 6201, subject: "aa.0.0.0", endpoint: "i-1" }),
    "not JSON",
    line(35, { event: 6201, subject: "bb.0.0.0" }),
  ].join("\n");
  const secondLog = line(10, { event: 6101, subject: "aa", entry: "e2" });
  const trace = collectTrace("aa", [firstLog, secondLog]);
  t.deepEqual(trace.lines.map(({ time }) => time), [10, 30]);
  t.regex(renderTrace(trace), /\+20 ms {2}e1 {2}TaskStarted .*endpoint="i-1"/);
});

test("lists reports of dropped lines within the time of the trace", (t) => {
  const log = [
    line(10, { event: 6101, subject: "aa" }),
    line(20, { event: 7008, counts: { 6201: 4 } }),
    line(30, { event: 6102, subject: "aa" }),
    line(9_000, { event: 7008, counts: { 6201: 1 } }),
  ].join("\n");
  const { gaps } = collectTrace("aa", [log]);
  t.deepEqual(gaps.map(({ time }) => time), [20]);
});

test("finds refused requests by the id in their path", (t) => {
  const log = line(5, { event: 6001, path: "/filings/aa", reason: "late" });
  t.is(collectTrace("aa", [log]).lines.length, 1);
});

// Guards against an operator who cannot see how long a job was expected to run.
test("a trace shows the expected run time of the job and those of its runs", (t) => {
  const log = [
    line(10, { event: 6101, subject: "aa", expectedMs: 2_400 }),
    line(30, {
      event: 6202,
      subject: "aa.0.0.0",
      actualMs: 2_600,
      predictedMs: 2_100,
    }),
  ].join("\n");
  const text = renderTrace(collectTrace("aa", [log]));
  t.regex(text, /JobAccepted .*expectedMs=2400/);
  t.regex(text, /TaskEnded .*actualMs=2600 predictedMs=2100/);
});
