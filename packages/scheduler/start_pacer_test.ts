import test from "ava";
import type { Endpoint, StartOrder } from "../cell/mod.ts";
import { MAX_PENDING_STARTS } from "./constants.ts";
import { StartPacer } from "./start_pacer.ts";

const ENDPOINT = { info: { id: "e0" } } as Endpoint;
const OTHER_ENDPOINT = { info: { id: "e1" } } as Endpoint;

function makeOrder(
  task: string,
  run: { endpoint?: Endpoint; hasTicket?: boolean; gangStart?: object } = {},
): StartOrder {
  return { run: { task, endpoint: ENDPOINT, ...run } } as StartOrder;
}

/** Makes a pacer whose orders are answered by `answer`. */
function makePacer() {
  const sent: string[] = [];
  const answers: (() => void)[] = [];
  const pacer = new StartPacer((order) => {
    sent.push(order.run.task);
    return new Promise((resolve) => answers.push(resolve));
  });
  const answer = async () => {
    answers.shift()?.();
    await Promise.resolve();
    await Promise.resolve();
  };
  const add = (order: StartOrder, mayStart = () => true) =>
    pacer.add(order, mayStart);
  return { sent, answer, add, pacer };
}

// Guards against tasks of a lost endpoint that wait for one lease after the other, as many
// starts were on their way to it.
test("few starts without a ticket are on their way to one endpoint", async (t) => {
  const { sent, answer, add } = makePacer();
  for (let n = 0; n < 5; n++) add(makeOrder(`a${n}`));
  add(makeOrder("b", { endpoint: OTHER_ENDPOINT }));
  t.is(sent.length, MAX_PENDING_STARTS + 1);
  t.is(sent.at(-1), "b");
  await answer();
  t.is(sent.length, MAX_PENDING_STARTS + 2);
  for (let n = 0; n < 6; n++) await answer();
  t.deepEqual([...sent].sort(), ["a0", "a1", "a2", "a3", "a4", "b"]);
});

// Guards against a start on an endpoint that has stopped answering meanwhile, or that was
// planned too long ago for the next owner to know when the last start was sent.
test("a start that has waited is sent only if it still may be", async (t) => {
  const { sent, answer, add } = makePacer();
  let mayStart = true;
  for (let n = 0; n < 4; n++) add(makeOrder(`a${n}`), () => mayStart);
  mayStart = false;
  await answer();
  mayStart = true;
  add(makeOrder("b"));
  t.deepEqual(sent, ["a0", "b"]);
});

// Guards against tasks that wait for 13.5 s after a planned stop of the owner: their starts
// had been committed, and waited for the answers of others.
test("the starts that wait are sent before the owner stops", async (t) => {
  const { sent, answer, add, pacer } = makePacer();
  for (let n = 0; n < 3; n++) add(makeOrder(`a${n}`));
  add(makeOrder("b"), () => false);
  pacer.sendWaiting();
  t.deepEqual(sent, ["a0", "a1", "a2"]);
  for (let n = 0; n < 3; n++) await answer();
  t.is(sent.length, 3);
});

// Guards against a gang whose members wait in vain for the others.
test("members of a gang and starts with a ticket are sent at once", (t) => {
  const { sent, add } = makePacer();
  for (let n = 0; n < 4; n++) add(makeOrder(`gang${n}`, { gangStart: {} }));
  for (let n = 0; n < 4; n++) add(makeOrder(`ticket${n}`, { hasTicket: true }));
  t.is(sent.length, 8);
});
