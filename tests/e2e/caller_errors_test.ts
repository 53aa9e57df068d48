import { Buffer } from "node:buffer";
import test from "ava";
import { SilentEventLog } from "../../packages/events/mod.ts";
import { createJobApp } from "../../packages/scheduler/job_app.ts";
import type { SchedulerNode } from "../../packages/scheduler/mod.ts";
import { createCallerApp } from "../../platform/caller_app.ts";

/** A submission to each of the two interfaces for jobs. */
const CALLS = [
  {
    createApp: (node: SchedulerNode) =>
      createCallerApp(node, { isStopping: () => false }),
    method: "POST",
    path: "/f/0123456789abcdef",
  },
  {
    createApp: createJobApp,
    method: "PUT",
    path: "/v1/queues/filings/jobs/1",
  },
];

const brokenNode = {
  parts: { log: new SilentEventLog() },
  callerService: { submit: () => Promise.reject(new Error("broken")) },
} as unknown as SchedulerNode;

// Guards against an answer that means "rejected" (400, or 500 without a verdict) for a
// job that was accepted before the error.
test("an unexpected error during a submission leaves its effect unknown", async (t) => {
  for (const { createApp, method, path } of CALLS) {
    const app = createApp(brokenNode);
    const response = await app.request(path, { method, body: "{}" });
    t.is(response.status, 504);
    const body = await response.json() as { verdict?: string };
    t.is(body.verdict, "may_have_run");
  }
});

// Guards against a job that runs with U+FFFD in place of what its caller sent.
test("a job whose body is not UTF-8 is rejected, not altered", async (t) => {
  const job = '{"task_spec": "ni\xf1o", "payload": "ni\xf1o", "steps": []}';
  const statuses = { utf8: 504, latin1: 400 };
  for (const { createApp, method, path } of CALLS) {
    for (const encoding of ["utf8", "latin1"] as const) {
      const body = Buffer.from(job, encoding);
      const app = createApp(brokenNode);
      const response = await app.request(path, { method, body });
      t.is(response.status, statuses[encoding], `${path}, ${encoding}`);
    }
  }
});
