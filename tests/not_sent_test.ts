import test from "ava";
import { isNotSent } from "../packages/platform/mod.ts";

// Guards against a start that is repeated elsewhere although it was sent: an open
// connection can fail with the same code as a connection attempt.
test("a failure of an open connection does not say that nothing was sent", (t) => {
  const connectError = { code: "EHOSTUNREACH", syscall: "connect" };
  t.true(isNotSent(Object.assign(new Error(), connectError)));
  const readError = { code: "EHOSTUNREACH", syscall: "read" };
  t.false(isNotSent(Object.assign(new Error(), readError)));
});
