// Two tenants number their jobs by themselves, so that both use the same id.
import { OTHER_KEY, runCase, sleep } from "./site.mjs";

const ID = "0000000000000001";
const OTHER_ID = "0000000000000002";
const VISIBLE_MS = 3_000;

runCase("review/8", async (site, { hasTrouble, record }) => {
  const payloads = [];
  await site.start({
    entries: 3,
    endpoints: [1, 2].map((n) => ({
      id: `w${n}`,
      host: 50 + n,
      configure: (standIn) => {
        const note = standIn.onEvent;
        standIn.onEvent = (event) => {
          note(event);
          if (event.kind === "started") payloads.push(event.detail);
        };
      },
    })),
  });
  await sleep(2_000);
  const step = { count: 1, cpu: 1_000, mem_mb: 256, estimate_ms: 300 };
  const id = hasTrouble ? ID : OTHER_ID;
  const first = { task_spec: "filing of norte", steps: [step] };
  const second = { task_spec: "filing of sur", steps: [step] };
  if (!await site.submit(ID, first)) throw new Error("not accepted");
  await sleep(1_000);
  const isAccepted = await site.submit(id, second, { key: OTHER_KEY });
  record.write(`the job of sur was ${isAccepted ? "" : "not "}accepted`);
  await sleep(VISIBLE_MS + 2_000);
  const statuses = [];
  for (const entry of site.entries) {
    const { status } = await site.call(entry, "GET", id, { key: OTHER_KEY });
    statuses.push(status);
  }
  await sleep(9_000);
  const hasRun = payloads.includes(second.task_spec);
  record.write(`the job of sur ${hasRun ? "has run" : "has never run"}`);
  const isGone = statuses.every((status) => status === 410);
  if (isAccepted && isGone && !hasRun) {
    record.write("LOST: the accepted job is answered 410 and never runs");
  }
  return isAccepted && (isGone || !hasRun);
});
