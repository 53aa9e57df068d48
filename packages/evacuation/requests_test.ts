import test from "ava";
import {
  applyRequests,
  confirmEffective,
  type EvacuationRequest,
  EvacuationSource,
  isDomainName,
  makeEvacuationState,
} from "./mod.ts";

function makeRequest(
  domain: string,
  revision: number,
  source = EvacuationSource.Platform,
): EvacuationRequest {
  return { domain, source, revision };
}

/** Makes a state and a function that applies requests and names what changed. */
function makeSite() {
  const state = makeEvacuationState();
  const apply = (requests: EvacuationRequest[], now = 0) =>
    applyRequests(state, { requests, now })
      .map(({ kind, evacuation }) => `${evacuation.domain} ${kind}`);
  return { state, apply };
}

test("two domains are evacuated and withdrawn independently", (t) => {
  const { state, apply } = makeSite();
  t.deepEqual(apply([makeRequest("a", 1)]), ["a requested"]);
  t.deepEqual(apply([makeRequest("a", 1), makeRequest("b", 2)]), [
    "b requested",
  ]);
  t.deepEqual(apply([makeRequest("b", 2)]), ["a withdrawn"]);
  t.deepEqual([...state.domains.keys()], ["b"]);
});

// Guards against a domain that is used again although another request still holds.
test("a domain stays evacuated until the requests of both sources are withdrawn", (t) => {
  const { state, apply } = makeSite();
  const own = makeRequest("a", 2, EvacuationSource.Operations);
  apply([makeRequest("a", 1), own]);
  t.deepEqual(apply([makeRequest("a", 1)]), []);
  t.deepEqual(state.domains.get("a")?.sources, [EvacuationSource.Platform]);
  t.deepEqual(apply([]), ["a withdrawn"]);
});

// Guards against a second request that is never reported as effective.
test("a request that is withdrawn and made again between two reads takes effect anew", (t) => {
  const { state, apply } = makeSite();
  apply([makeRequest("a", 1)]);
  t.is(confirmEffective(state, () => true).length, 0);
  t.is(confirmEffective(state, () => false).length, 1);
  t.is(confirmEffective(state, () => false).length, 0);
  t.deepEqual(apply([makeRequest("a", 3)], 900), ["a requested"]);
  t.is(state.domains.get("a")?.requestedAt, 900);
  t.is(confirmEffective(state, () => false).length, 1);
});

test("any name without spaces names a domain, also an unknown one", (t) => {
  for (const name of ["a", "zone-1", "eu/north", "Ö"]) {
    t.true(isDomainName(name), name);
  }
  for (const name of ["", " ", "a b", "a\n", "x".repeat(201)]) {
    t.false(isDomainName(name), JSON.stringify(name));
  }
});
