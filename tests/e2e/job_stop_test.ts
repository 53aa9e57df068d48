import test from "ava";
import { UnknownEffectError } from "../../packages/base/mod.ts";
import {
  LAST_ANSWER_MS,
  SHUTDOWN_GRACE_MS,
} from "../../packages/scheduler/mod.ts";
import type { KeyValueStore } from "../../packages/storage/mod.ts";
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

/** Time for a stop's last answers and timers, in milliseconds. */
const STOP_MARGIN_MS = 300;

/** Makes a store's calls wait and fail, as one that does not answer. */
function silenceStore(store: KeyValueStore): void {
  const failLate = async (): Promise<never> => {
    await sleep(1_500);
    throw new UnknownEffectError("no answer");
  };
  for (
    const call of [
      "get",
      "list",
      "watch",
      "commit",
      "createLease",
      "renewLease",
      "endLease",
    ] as const
  ) {
    store[call] = failLate;
  }
}

// Guards against a stop that waits for a store which does not answer, and against
// callers that get no answer from a stopping entry.
test("a planned stop of the owner while the store does not answer ends in time and answers every caller", async (t) => {
  const site = new JobSite("127.60.0");
  await site.start({ entries: 1, endpoints: 1 });
  t.teardown(() => site.stop());
  const [{ node, daemon }] = site.entries;
  silenceStore(node.parts.store);
  const statuses: number[] = [];
  const failures: string[] = [];
  let lastJobNumber = 0;
  const send = async () => {
    const id = (++lastJobNumber).toString(16).padStart(16, "0");
    try {
      const options = { method: "POST", body: JOB };
      statuses.push((await site.send(0, `/filings/${id}`, options)).status);
    } catch (error) {
      failures.push(String(error));
    }
  };
  const calls: Promise<void>[] = [];
  const startedAt = Date.now();
  calls.push(send(), send());
  await sleep(100);
  const stopping = daemon.stop();
  while (Date.now() - startedAt < SHUTDOWN_GRACE_MS - 200) {
    calls.push(send());
    await sleep(100);
  }
  await stopping;
  t.true(
    Date.now() - startedAt <
      SHUTDOWN_GRACE_MS + LAST_ANSWER_MS + STOP_MARGIN_MS,
  );
  await Promise.all(calls);
  t.deepEqual(failures, []);
  t.is(statuses.length, calls.length);
  t.true(statuses.every((status) => status === 503 || status === 504));
});

// Guards against an entry that is told to stop and never ends: an error in the last
// plan of the owner ended the stop half way, with the lease still held.
test("an error during a planned stop is reported, and the entry still stops and releases the cell", async (t) => {
  const site = new JobSite("127.61.0");
  await site.start({ entries: 2, endpoints: 1 });
  t.teardown(() => site.stop());
  const owner = site.findOwner();
  const { node, daemon } = site.entries[owner];
  const { metrics } = node.parts;
  const { observeDuration } = metrics;
  let reported: unknown;
  const { handleUnexpectedError } = node;
  node.handleUnexpectedError = (error) => {
    reported = error;
    handleUnexpectedError.call(node, error);
  };
  metrics.observeDuration = () => {
    throw new Error("test");
  };
  const startedAt = Date.now();
  const stopping = daemon.stop();
  metrics.observeDuration = observeDuration;
  await t.notThrowsAsync(stopping);
  t.true(
    Date.now() - startedAt <
      SHUTDOWN_GRACE_MS + LAST_ANSWER_MS + STOP_MARGIN_MS,
  );
  t.is(String(reported), "Error: test");
  t.is(site.findOwner(), 1 - owner);
});
