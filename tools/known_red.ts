/** A test's result in the output of the test runner (TAP). */
export interface TestResult {
  /** File and name of the test, as the runner prints them. */
  title: string;
  hasPassed: boolean;
}

/** Start of a line of KNOWN-RED.txt that names a test: `- test: TITLE`. */
const KNOWN_TEST_PREFIX = "- test: ";

/** Reads the results of all tests from TAP lines. */
export function parseResults(tap: string): TestResult[] {
  const results: TestResult[] = [];
  for (const line of tap.split("\n")) {
    const match = /^(not ok|ok) \d+ - (.+?)(?: # .*)?$/.exec(line);
    if (match) results.push({ title: match[2], hasPassed: match[1] === "ok" });
  }
  return results;
}

/** Reads the titles of the tests that KNOWN-RED.txt names. */
export function parseKnownRed(text: string): Set<string> {
  const lines = text.split("\n").filter((line) =>
    line.startsWith(KNOWN_TEST_PREFIX)
  );
  return new Set(
    lines.map((line) => line.slice(KNOWN_TEST_PREFIX.length).trim()),
  );
}

/**
 * Splits the failed tests into known and other ones. Listed tests that did not
 * run, for instance because they were renamed, are `missing`.
 */
export function classifyFailures(
  results: readonly TestResult[],
  known: ReadonlySet<string>,
): { known: string[]; other: string[]; missing: string[] } {
  const failed = results.filter(({ hasPassed }) => !hasPassed);
  const titles = new Set(results.map(({ title }) => title));
  return {
    known: failed.map(({ title }) => title).filter((it) => known.has(it)),
    other: failed.map(({ title }) => title).filter((it) => !known.has(it)),
    missing: [...known].filter((title) => !titles.has(title)),
  };
}
