import test from "ava";
import {
  findTextError,
  formatStageName,
  formatTaskName,
  parseTaskName,
} from "./mod.ts";

/** Letters, and how many of them a payload may have. */
const LARGEST_PAYLOADS: [string, number][] = [
  ["x", 4_000],
  ["牛", 1_333],
  ["𠮷", 1_000],
];

// Guards against a limit in UTF-16 code units, which let three times the promised size
// pass to endpoints.
for (const [letter, accepted] of LARGEST_PAYLOADS) {
  test(`a payload of ${letter} is limited by its size in bytes`, (t) => {
    const repeat = (count: number) => letter.repeat(count);
    t.is(findTextError({ id: "a", payload: repeat(accepted) }), undefined);
    t.truthy(findTextError({ id: "a", payload: repeat(accepted + 1) }));
  });
}

// Guards against accepted jobs that never end, because the names of their tasks can't be
// parsed: an id with a dot.
test("an accepted id is the job of each of its tasks", (t) => {
  const position = { occurrence: 7, step: 1, index: 2 };
  for (const id of ["0123456789abcdef", "A_b-9", "x".repeat(64)]) {
    t.is(findTextError({ id, payload: "" }), undefined);
    const name = formatTaskName(formatStageName({ job: id, ...position }), 2);
    t.deepEqual(parseTaskName(name), { job: id, ...position });
  }
  for (
    const id of ["", "a.b", "a b", "a/b", "a@b", "a\n", "ñ", "x".repeat(65)]
  ) {
    t.truthy(findTextError({ id, payload: "" }), id);
  }
});
