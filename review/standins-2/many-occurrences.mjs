// Jobs with many occurrences, all of them in the future, beside plain jobs.
import { runCase, sleep } from "./site.mjs";

const INTERVAL_MS = 300_000;
/** Every five minutes for a week, and for 30 days. */
const SCHEDULED = [
  { id: "00000000000000aa", times: 2_016 },
  { id: "00000000000000ab", times: 8_640 },
];
const STEP = { count: 1, cpu: 1_000, mem_mb: 256, estimate_ms: 300 };
/** Plain jobs before the scheduled one, in two steps, and after it. */
const PLAIN_BEFORE = 5;
const PLAIN_AFTER = 15;
const FIRST_STEP_MS = 3_000;
const FINISH_MS = 14_000;

runCase("review/7", async (site, { hasTrouble, record }) => {
  let running = 0;
  await site.start({
    entries: 3,
    endpoints: [1, 2, 3].map((n) => ({
      id: `w${n}`,
      host: 50 + n,
      configure: (standIn) => {
        const note = standIn.onEvent;
        standIn.measureDuration = (_task, payload) =>
          payload === "two steps" ? FIRST_STEP_MS : STEP.estimate_ms;
        standIn.onEvent = (event) => {
          note(event);
          if (event.kind === "started") running++;
          if (event.kind === "ended") running--;
        };
      },
    })),
  });
  await sleep(2_000);
  const accepted = [];
  const submissions = [];
  const submitPlain = (n, body) => {
    const id = n.toString(16).padStart(16, "0");
    submissions.push(
      site.submit(id, body, { first: n }).then((isAccepted) => {
        if (isAccepted) accepted.push(id);
      }),
    );
  };
  const firstStep = { ...STEP, estimate_ms: FIRST_STEP_MS };
  const inTwoSteps = {
    task_spec: "two steps",
    steps: [firstStep, { ...firstStep, after: [0] }],
  };
  for (let n = 0; n < PLAIN_BEFORE; n++) submitPlain(n, inTwoSteps);
  await sleep(1_000);
  for (const { id, times } of hasTrouble ? SCHEDULED : []) {
    const isAccepted = await site.submit(id, {
      task_spec: "reminder",
      steps: [STEP],
      times,
      first_run_ms: Date.now() + INTERVAL_MS,
      interval_ms: INTERVAL_MS,
    });
    record.write(
      `the job of ${times} occurrences was ${isAccepted ? "" : "not "}accepted`,
    );
    if (!isAccepted) throw new Error("the scheduled jobs were not accepted");
    await sleep(500);
  }
  for (let n = 0; n < PLAIN_AFTER; n++) {
    submitPlain(PLAIN_BEFORE + n, { task_spec: "filing", steps: [STEP] });
    await sleep(300);
  }
  await Promise.all(submissions);
  record.write(
    `${accepted.length} of ${
      PLAIN_BEFORE + PLAIN_AFTER
    } plain jobs were accepted`,
  );
  await sleep(FINISH_MS);
  // For 3 s, is nothing run although room is free?
  let wasRunning = 0;
  const until = Date.now() + 3_000;
  while (Date.now() < until) {
    wasRunning = Math.max(wasRunning, running);
    await sleep(20);
  }
  const answers = await Promise.all(accepted.map(async (id, n) => {
    for (let attempt = 0; attempt < 4; attempt++) {
      const entry = site.entries[(n + attempt) % site.entries.length];
      const { status, body } = await site.call(entry, "GET", id);
      if (status === 200 || status === 410) return body?.state ?? status;
    }
    return "no answer";
  }));
  const lost = answers.filter((answer) => answer !== "completed");
  record.write(
    `LOST: ${lost.length} of ${accepted.length} accepted plain jobs are not ` +
      `completed: ${[...new Set(lost)].join(", ") || "none"}; at most ` +
      `${wasRunning} tasks ran in the 3 s before`,
  );
  record.write(
    `entries that ended by themselves: ${
      site.entries.reduce((sum, { ends }) => sum + ends, 0)
    }`,
  );
  return lost.length > 0 && wasRunning === 0;
});
