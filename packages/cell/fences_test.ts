import test from "ava";
import { makeEndpoint } from "./endpoints.ts";
import {
  canEndPause,
  getFence,
  isFencedOff,
  noteAckUnanswered,
  noteFenceAccepted,
  noteFenceUnanswered,
  OwnerFence,
  raiseFence,
} from "./fences.ts";

function makeFences() {
  const endpoint = makeEndpoint({
    id: "e0",
    address: "10.0.0.1:1",
    service: "desk",
    domain: "a",
    labels: [],
    rack: "",
    capacity: { milliCores: 1, memoryMb: 1, accelerators: 0 },
    isDraining: false,
    bornAt: 0,
  });
  return { endpoint, owner: new OwnerFence(5) };
}

// Guards against orders in flight that are refused although all were answered.
test("the token of an endpoint rises only after an order without an answer", (t) => {
  const { endpoint, owner } = makeFences();
  t.is(getFence(endpoint, owner), 5);
  owner.noteCommit(9);
  t.is(raiseFence(endpoint, owner), 5);
  noteFenceUnanswered(endpoint, 5);
  t.is(getFence(endpoint, owner), 5);
  t.is(raiseFence(endpoint, owner), 9);
  owner.noteCommit(8);
  t.is(owner.newest, 9);
});

// Guards against a late order that is carried out by a lifetime which has seen no token.
test("an order is fenced off only in the lifetime that has accepted a higher token", (t) => {
  const { endpoint } = makeFences();
  noteFenceAccepted(endpoint, { token: 9, isOtherLifetime: false });
  t.true(isFencedOff(endpoint, 5));
  t.false(isFencedOff(endpoint, 9));
  noteFenceAccepted(endpoint, { token: 5, isOtherLifetime: true });
  t.false(isFencedOff(endpoint, 5));
});

// Guards against a pause that ends while a later acknowledgement may still arrive: the poll
// that was sent first waits longest and fails last.
test("the pause lasts for the acknowledgement with the highest token", (t) => {
  const { endpoint, owner } = makeFences();
  noteAckUnanswered(endpoint, { now: 200, token: 9 });
  noteAckUnanswered(endpoint, { now: 100, token: 5 });
  endpoint.lateAckUntil = 12_700;
  t.is(endpoint.unansweredEndsAckAt, 200);
  owner.noteCommit(9);
  t.false(canEndPause(endpoint, { owner, now: 300 }));
  owner.noteCommit(11);
  t.true(canEndPause(endpoint, { owner, now: 300 }));
  noteFenceAccepted(endpoint, { token: 11, isOtherLifetime: false });
  t.is(endpoint.lateAckUntil, 0);
});
