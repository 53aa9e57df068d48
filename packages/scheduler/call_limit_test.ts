import test from "ava";
import { SilentEventLog } from "../events/mod.ts";
import { LinkBusyError } from "../links/mod.ts";
import { Metrics } from "../metrics/mod.ts";
import { CallLimit } from "./call_limit.ts";

function makeLimit(max: number) {
  const metrics = new Metrics();
  const log = new SilentEventLog();
  return { metrics, limit: new CallLimit({ getMax: () => max, log, metrics }) };
}

// Guards against an owner whose memory fills with the calls of hundreds of entries.
test("a call beyond those in process is refused without being run", async (t) => {
  const { limit, metrics } = makeLimit(1);
  let finish = () => {};
  const first = limit.run(() =>
    new Promise<void>((resolve) => finish = resolve)
  );
  await t.throwsAsync(
    () => limit.run(() => Promise.reject(new Error("it ran"))),
    { instanceOf: LinkBusyError },
  );
  t.regex(await metrics.renderText(), /limits_met_total.*owner_calls/);
  finish();
  await first;
  t.is(await limit.run(() => Promise.resolve(7)), 7);
});

test("a call that fails makes room for the next one", async (t) => {
  const { limit } = makeLimit(1);
  await t.throwsAsync(limit.run(() => Promise.reject(new Error("a"))), {
    message: "a",
  });
  t.is(await limit.run(() => Promise.resolve(1)), 1);
});
