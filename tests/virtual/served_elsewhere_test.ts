import test from "ava";
import { AnswerKind } from "../../packages/scheduler/mod.ts";
import { StoreFault } from "./memory_store.ts";
import {
  parseEmptyJob,
  REQUEST,
  settle,
  startService,
} from "./service_site.ts";
import { VirtualTime } from "./virtual_time.ts";

/** Submits to an entry that the store has turned away for 4 s. */
async function submitWithoutStore(
  { refusesLate, canOthersServe }: {
    refusesLate: boolean;
    canOthersServe: boolean;
  },
) {
  const { service, gateway, time, store } = await startService(
    new VirtualTime(),
    { refusesLate, isOpen: false },
  );
  Object.defineProperty(gateway, "canOthersServe", { value: canOthersServe });
  store.fault = StoreFault.Unavailable;
  await time.advance(4_000);
  const { answer } = await settle(
    time,
    service.submit(REQUEST, parseEmptyJob),
  );
  return answer;
}

// Guards against callers that wait for seconds at an entry without the store, although
// any other entry would serve them at once.
test("an entry that the store turns away sends callers to another entry at once", async (t) => {
  const answer = await submitWithoutStore({
    refusesLate: true,
    canOthersServe: true,
  });
  t.is(answer.kind, AnswerKind.Unavailable);
  t.is(answer.retryAfterMs, 0);
  t.true(answer.isServedElsewhere);
});

// Guards against callers that use up their retries while the store is down for all.
test("callers wait before a retry if no other entry can serve them", async (t) => {
  for (const refusesLate of [true, false]) {
    const answer = await submitWithoutStore({
      refusesLate,
      canOthersServe: !refusesLate,
    });
    t.is(answer.kind, AnswerKind.Unavailable);
    t.true((answer.retryAfterMs ?? 0) >= 1_000);
    t.falsy(answer.isServedElsewhere);
  }
});
