import test from "ava";
import { SilentEventLog } from "../../packages/events/mod.ts";
import { createJobApp } from "../../packages/scheduler/job_app.ts";
import type { SchedulerNode } from "../../packages/scheduler/mod.ts";
import { createCallerApp } from "../../platform/caller_app.ts";

const brokenNode = {
  parts: { log: new SilentEventLog() },
  callerService: { submit: () => Promise.reject(new Error("broken")) },
} as unknown as SchedulerNode;

// Guards against an answer that means "rejected" (400, or 500 without a verdict) for a
// job that was accepted before the error.
test("an unexpected error during a submission leaves its effect unknown", async (t) => {
  const apps = [
    {
      app: createCallerApp(brokenNode, { isStopping: () => false }),
      method: "POST",
      path: "/f/0123456789abcdef",
    },
    {
      app: createJobApp(brokenNode),
      method: "PUT",
      path: "/v1/queues/filings/jobs/1",
    },
  ];
  for (const { app, method, path } of apps) {
    const response = await app.request(path, { method, body: "{}" });
    t.is(response.status, 504);
    const body = await response.json() as { verdict?: string };
    t.is(body.verdict, "may_have_run");
  }
});
