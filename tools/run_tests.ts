/**
 * Runs all tests. Fails if a test fails that KNOWN-RED.txt does not name, if a
 * named test did not run, or if the runner ends without results.
 */
import { spawn } from "node:child_process";
import { readFileSync } from "node:fs";
import { classifyFailures, parseKnownRed, parseResults } from "./known_red.ts";

const KNOWN_RED_FILE = "KNOWN-RED.txt";

/** Result of one run of the test runner. */
interface AvaRun {
  tap: string;
  exitCode: number;
}

/** Options of each run: all tests, then those that must run apart from them. */
const RUNS = [[], ["--config", "ava.clients.config.mjs"]];

/** Runs the test runner; resolves to its output and exit code. */
function runAva(options: string[]): Promise<AvaRun> {
  return new Promise((resolve, reject) => {
    const child = spawn("npx", ["ava", "--tap", ...options], {
      stdio: ["ignore", "pipe", "inherit"],
    });
    let tap = "";
    child.stdout.on("data", (chunk) => {
      tap += chunk;
      process.stdout.write(chunk);
    });
    child.on("error", reject);
    child.on("close", (code) => resolve({ tap, exitCode: code ?? 1 }));
  });
}

const runs: AvaRun[] = [];
for (const options of RUNS) runs.push(await runAva(options));
const resultsByRun = runs.map(({ tap }) => parseResults(tap));
const results = resultsByRun.flat();
const failures = classifyFailures(
  results,
  parseKnownRed(readFileSync(KNOWN_RED_FILE, "utf8")),
);
const passedCount = results.filter(({ hasPassed }) => hasPassed).length;
for (const title of failures.known) console.log(`known red: ${title}`);
for (const title of failures.other) console.log(`failed: ${title}`);
for (const title of failures.missing) {
  console.log(`${KNOWN_RED_FILE} names a test that did not run: ${title}`);
}
console.log(
  `${passedCount} tests passed, ${failures.other.length} failed, ` +
    `${failures.known.length} known red`,
);
const known = new Set(failures.known);
/** A run that fails without a failed test has not run all of its tests. */
const isExplained = runs.every(({ exitCode }, n) =>
  exitCode === 0 || resultsByRun[n].some(({ title }) => known.has(title))
);
const haveAllRun = resultsByRun.every((it) =>
  it.some(({ hasPassed }) => hasPassed)
);
const hasPassed = haveAllRun && isExplained &&
  failures.other.length === 0 && failures.missing.length === 0;
process.exit(hasPassed ? 0 : 1);
