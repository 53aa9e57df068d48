import { spawn } from "node:child_process";
import process from "node:process";
import test from "ava";
import { EventCode } from "./mod.ts";

const LINES = 20_000;
/** Time for which the reader takes nothing, in milliseconds. */
const STALL_MS = 500;

/** Writes `LINES` lines, and one more once the reader has caught up. */
const WRITER = `
  import { EventCode, LogTarget, PinoEventLog } from ${
  JSON.stringify(new URL("./mod.js", import.meta.url))
};
  const log = new PinoEventLog("info", {}, { target: LogTarget.Stdout, isAsync: true });
  for (let n = 0; n < ${LINES}; n++) {
    log.record(EventCode.TaskStarted, { n, text: "x".repeat(200) });
  }
  setTimeout(() => log.record(EventCode.EntryStopped), ${4 * STALL_MS});
`;

// Guards against lines that are cut off, or lost without a trace, while the reader of the
// log is slow: what an owner did can't be followed then.
test("each line is whole, or counted as dropped, while the reader stalls", async (t) => {
  const child = spawn(
    process.execPath,
    ["--input-type=module", "-e", WRITER],
    { stdio: ["ignore", "pipe", "inherit"] },
  );
  child.stdout.pause();
  setTimeout(() => child.stdout.resume(), STALL_MS);
  let text = "";
  child.stdout.setEncoding("utf8").on("data", (part) => text += part);
  await new Promise((resolve) => child.once("close", resolve));
  const events = text.trim().split("\n").map((line) => JSON.parse(line));
  const written = events.filter(({ event }) => event === EventCode.TaskStarted);
  const dropped = events.reduce((sum, { unwritten = 0 }) => sum + unwritten, 0);
  t.true(dropped > 0);
  t.is(written.length + dropped, LINES);
});
