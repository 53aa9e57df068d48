/**
 * Jobs with texts of the longest size that are due in an hour, at the usual rate of a
 * site; then the entry that wrote to the store last is killed. Every entry that ends is
 * started again after a second, as the platform does.
 */
import { makeId, runCase, sleep } from "./site.mjs";

const ENTRIES = 4;
/** Of `vanua-place-grown`: 87.4 + 6.27 + 2.39. */
const JOBS_PER_S = 96;
const TRAFFIC_MS = 84_000;
const FINISH_MS = 14_000;
const ASKED_JOBS = 12;
const LAST_ASK_MS = 112_000;
const RESTART_MS = 1_000;
const SPEC_BYTES = 4_000;
const LEAD_MS = 3_600_000;

/** A text of at most 4,000 bytes with a letter beyond Latin-1. */
function makeSpec(n) {
  const text = `${n} Whare tākaro: `;
  return text + "x".repeat(SPEC_BYTES - new TextEncoder().encode(text).length);
}

await runCase(process.argv[2], async (site, hasTrouble) => {
  const exits = [];
  const keepRunning = (entry) => {
    entry.onExit = (code, signal) => {
      if (signal !== "SIGKILL") exits.push(`${entry.name}: ${code ?? signal}`);
      setTimeout(() => site.startEntry(entry), RESTART_MS);
    };
  };
  await site.start({ entries: ENTRIES });
  for (const entry of site.entries) keepRunning(entry);
  for (let n = 0; n < 4; n++) await site.addWorker();
  site.applyConfig({ routes: [{ name: "filings", prefix: "/filings/" }] });
  await site.waitReady();
  const startedAt = Date.now();
  const accepted = [];
  const pending = [];
  let sent = 0;
  while (Date.now() < startedAt + TRAFFIC_MS) {
    const due = (Date.now() - startedAt) * JOBS_PER_S / 1_000;
    for (; sent < due; sent++) {
      const id = makeId();
      const submission = site.submit(`/filings/${id}`, {
        task_spec: makeSpec(sent),
        steps: [{ count: 2, cpu: 100, mem_mb: 64, estimate_ms: 640 }],
        times: 1,
        first_run_ms: startedAt + LEAD_MS,
      }, { tries: 1 }).then((status) => {
        if (status === 200) accepted.push(id);
        else site.note(`job ${id} was answered ${status}`);
      });
      pending.push(submission);
    }
    await sleep(10);
  }
  await Promise.all(pending);
  site.note(`${sent} jobs sent, ${accepted.length} accepted; end of traffic`);
  site.note(`${exits.length} entries have ended by themselves: ${exits}`);
  const trafficEndsAt = Date.now();
  const owner = site.findOwner();
  if (hasTrouble) site.kill(owner);
  await sleep(FINISH_MS);
  const unanswered = new Set();
  for (let n = 0; n < ASKED_JOBS; n++) {
    unanswered.add(accepted[Math.floor(n * accepted.length / ASKED_JOBS)]);
  }
  while (unanswered.size > 0 && Date.now() < startedAt + LAST_ASK_MS) {
    await Promise.all([...unanswered].map(async (id, n) => {
      const entry = site.entries[n % ENTRIES];
      const { status, body } = await site.call(entry, "GET", `/filings/${id}`);
      site.note(`job ${id}: ${status} ${body?.state ?? ""}`);
      if (status === 200 && body?.state) unanswered.delete(id);
    }));
    await sleep(500);
  }
  site.note(`${exits.length} entries have ended by themselves: ${exits}`);
  return [...unanswered].map((id) =>
    `accepted job ${id} got no answer from ${FINISH_MS} to ${
      Date.now() - trafficEndsAt
    } ms after the end of the traffic`
  );
});
