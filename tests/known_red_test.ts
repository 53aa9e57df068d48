import test from "ava";
import {
  classifyFailures,
  parseKnownRed,
  parseResults,
} from "../tools/known_red.ts";

const TAP = `TAP version 13
ok 1 - a › passes
not ok 2 - b › is known
not ok 3 - c › is new
1..3`;

test("only the failures that the list names are passed over", (t) => {
  const known = parseKnownRed(
    "# text\n- test: b › is known\n  seen: 2 instead of 1\n",
  );
  const failures = classifyFailures(parseResults(TAP), known);
  t.deepEqual(failures, {
    known: ["b › is known"],
    other: ["c › is new"],
    missing: [],
  });
});

test("a listed test that did not run is reported", (t) => {
  const known = parseKnownRed("- test: d › was renamed");
  t.deepEqual(classifyFailures(parseResults(TAP), known).missing, [
    "d › was renamed",
  ]);
});
