import test from "ava";
import { sleep } from "../standins/http_server.ts";
import { JobSite } from "../harness/job_site.ts";

const JOB = { steps: [{ count: 1, cpu: 100, mem_mb: 10, estimate_ms: 50 }] };
const SENDERS = 8;

test("a planned stop of the owner under load drops no request and loses no accepted job", async (t) => {
  const site = new JobSite("127.53.0");
  await site.start({ entries: 3, endpoints: 3 });
  const owner = site.findOwner();
  const failures: string[] = [];
  const acceptedPaths: string[] = [];
  let isSending = true;
  let lastJobNumber = 0;
  const send = async (entry: number) => {
    while (isSending) {
      const id = (++lastJobNumber).toString(16).padStart(16, "0");
      const path = `/filings/${id}`;
      try {
        const answer = await site.send(entry, path, {
          method: "POST",
          body: JOB,
        });
        if (answer.status === 200) acceptedPaths.push(path);
        else if (answer.status !== 503 && answer.status !== 504) {
          failures.push(`${path}: ${answer.status}`);
        }
      } catch (error) {
        failures.push(`${path}: ${String(error)}`);
      }
      await sleep(5);
    }
  };
  const senders = Array.from({ length: SENDERS }, (_, n) => send(n % 3));
  await sleep(500);
  const stopping = site.entries[owner].daemon.stop();
  // The load balancer stops routing to a stopping entry within about 2 s.
  await sleep(2_500);
  isSending = false;
  await Promise.all(senders);
  await stopping;
  t.deepEqual(failures, []);
  const otherEntry = (owner + 1) % 3;
  await site.waitFor(async () => {
    for (const path of acceptedPaths) {
      const { body } = await site.send(otherEntry, path);
      if (body.state !== "completed") return false;
    }
    return true;
  });
  t.true(acceptedPaths.length > 100);
  const starts = site.endpoints.flatMap((endpoint) => endpoint.starts);
  t.is(new Set(starts).size, starts.length);
  await site.stop();
});
