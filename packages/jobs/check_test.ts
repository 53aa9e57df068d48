import test from "ava";
import { findTextError } from "./mod.ts";

// Guards against a limit in UTF-16 code units, which let three times the promised size
// pass to endpoints.
for (const [letter, accepted] of [["x", 4_000], ["牛", 1_333], ["𠮷", 1_000]]) {
  test(`a payload of ${letter} is limited by its size in bytes`, (t) => {
    const repeat = (count: number) => String(letter).repeat(count);
    t.is(findTextError({ payload: repeat(Number(accepted)) }), undefined);
    t.truthy(findTextError({ payload: repeat(Number(accepted) + 1) }));
  });
}
