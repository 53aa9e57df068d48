import { Buffer } from "node:buffer";
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { Caller, runCase, sleep } from "../standins.mjs";

const JOBS = 1_600;
const CALLERS = 4;
/** Submissions a second; the small deployments have 36 to 38. */
const PER_SECOND = 38;
/** Time from the first submission to the due time of all jobs, in ms. */
const DUE_AFTER_MS = 54_000;
/** `task_spec` may have 4,000 bytes; this text has 4 bytes a character. */
const SPEC_BYTES = 4_000;
const LETTERS = ["𠮷", "𡈽", "𠀋", "𣘺"];

function makeSpec(number) {
  let text = `herd ${number} `;
  while (Buffer.byteLength(text) + 4 <= SPEC_BYTES) {
    text += LETTERS[text.length % LETTERS.length];
  }
  return text;
}

await runCase(
  dirname(fileURLToPath(import.meta.url)),
  async (site, hasTrouble) => {
    site.measureDuration = () => 300;
    site.record.skips = / end of | ends /;
    await site.start({ entries: 3, workers: 4 });
    await sleep(2_000);
    const firstAt = Date.now();
    const dueAt = firstAt + DUE_AFTER_MS;
    const sent = new Map();
    let next = 0;
    const submitAll = async (entry) => {
      const caller = new Caller(site, entry);
      while (next < JOBS) {
        const number = next++;
        await sleep(firstAt + number * 1_000 / PER_SECOND - Date.now());
        const id = (0x1000000000000000n + BigInt(number)).toString(16);
        const task_spec = makeSpec(number);
        const answer = await caller.call("POST", `${site.prefix}${id}`, {
          body: {
            task_spec,
            steps: [{ count: 1, cpu: 500, mem_mb: 256, estimate_ms: 300 }],
            times: 1,
            first_run_ms: dueAt,
          },
          isQuiet: true,
        });
        if (answer.status === 200) sent.set(id, task_spec);
      }
      caller.close();
    };
    await Promise.all(
      Array.from(
        { length: CALLERS },
        (_, n) => submitAll(site.entries[n % site.entries.length]),
      ),
    );
    site.record.note(`${sent.size} of ${JOBS} jobs were accepted`);
    await sleep(1_000);
    const owner = site.findOwner();
    if (hasTrouble) {
      site.signal(owner, "SIGKILL");
      setTimeout(() => site.startEntry(site.entries.indexOf(owner)), 1_000);
    }
    await sleep(dueAt + 12_000 - Date.now());
    const started = new Set(site.starts.map(({ task }) => task));
    site.record.note(`${started.size} tasks were started`);
    if (started.size === 0) throw new Error("no task was started");
    const breaches = [];
    for (const { task, run, worker, task_spec } of site.starts) {
      const expected = sent.get(task.split(".")[0]);
      if (expected === undefined || expected === task_spec) continue;
      const at = [...expected].findIndex((letter, index) =>
        [...task_spec][index] !== letter
      );
      breaches.push(
        `${worker} was told to start ${task}/${run} with another task_spec: ` +
          `character ${at} was sent as ${[...expected][at]} and arrived as ` +
          `${JSON.stringify([...task_spec].slice(at, at + 2).join(""))}`,
      );
    }
    return breaches;
  },
);
