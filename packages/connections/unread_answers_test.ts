import test from "ava";
import { DEFAULT_CONNECTION_LIMITS } from "./constants.ts";
import { LimitName } from "./types.ts";
import { listUnread } from "./unread_answers.ts";

const limits = {
  ...DEFAULT_CONNECTION_LIMITS,
  answer_bytes: 100,
  answer_ms: 50,
};

function makeConnection(bytes: number, waitedMs = 0) {
  return { bytes, measureUnsent: () => bytes, noteUnsent: () => waitedMs };
}

const CASES: [string, [number, number?][], [number, LimitName][]][] = [
  ["answers within the limits", [[60], [40]], []],
  ["a single large answer", [[5_000]], []],
  ["many answers: the largest go", [[60], [90], [30]], [
    [90, LimitName.AnswerBytes],
  ]],
  ["answers that wait too long", [[1, 51], [1, 50]], [
    [1, LimitName.AnswerTime],
  ]],
];
for (const [name, sizes, expected] of CASES) {
  test(`${name}`, (t) => {
    const connections = sizes.map(([bytes, ms]) => makeConnection(bytes, ms));
    const unread = listUnread(connections, { limits, now: 0 });
    t.deepEqual(
      unread.map(({ connection, limit }) => [connection.bytes, limit]),
      expected,
    );
  });
}
