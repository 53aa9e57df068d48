import { type Context, Hono } from "hono";
import { bodyLimit } from "hono/body-limit";
import type { ContentfulStatusCode } from "hono/utils/http-status";
import {
  Cause,
  makeMayHaveRunOutcome,
  makeNotRunOutcome,
  type Outcome,
  readBodyText,
  SECOND_MS,
} from "../base/mod.ts";
import { findTeamOfKey, MAX_BODY_BYTES } from "../config/mod.ts";
import {
  LimitName,
  type RefusalAnswer,
  RefusalFormat,
  type RefusedRequest,
} from "../connections/mod.ts";
import { EventCode } from "../events/mod.ts";
import { WorkState, type WorkView } from "../peers/mod.ts";
import { renderOutcome } from "../pipeline/mod.ts";
import type { EntryNode } from "./entry_node.ts";

/** Creates the HTTP application for callers, load balancers and metrics. */
export function createCallerApp(node: EntryNode): Hono {
  const app = new Hono();
  const bodySizeLimit = bodyLimit({
    maxSize: MAX_BODY_BYTES,
    onError: (context) =>
      sendRefusal(
        context,
        Cause.BodyTooLarge,
        { detail: `the body may be at most ${MAX_BODY_BYTES} bytes long` },
      ),
  });
  app.post(
    "/v1/queues/:queue/work",
    bodySizeLimit,
    (c) => receiveWork(node, c),
  );
  app.get("/v1/work/:id", (c) => sendWork(node, c, { cancel: false }));
  app.delete("/v1/work/:id", (c) => sendWork(node, c, { cancel: true }));
  app.get("/healthz", (c) => c.text("ok\n"));
  app.get("/readyz", (c) => {
    const isReady = node.isReady() && !node.isDraining;
    return c.text(isReady ? "ready\n" : "not ready\n", isReady ? 200 : 503);
  });
  app.get("/metrics", async (c) => c.text(await renderMetrics(node)));
  app.notFound((c) =>
    sendRefusal(c, Cause.NotFound, { detail: "no such path" })
  );
  app.onError((error, c) => {
    node.parts.log.record(EventCode.InvariantBroken, { error: String(error) });
    const detail = `internal error: ${error.message}`;
    const outcome = makeMayHaveRunOutcome(Cause.EntryLost, detail);
    return sendOutcome(c, outcome, { id: "" });
  });
  return app;
}

const CAUSE_BY_LIMIT: Partial<Record<LimitName, Cause>> = {
  [LimitName.BodyBytes]: Cause.BodyTooLarge,
  [LimitName.BodyChunks]: Cause.BodyTooLarge,
  [LimitName.Expectation]: Cause.BadRequest,
};

/** Refusals in the form of the interface for direct work. */
export class WorkRefusals extends RefusalFormat {
  override renderRefusal({ limit, detail }: RefusedRequest): RefusalAnswer {
    const cause = CAUSE_BY_LIMIT[limit] ?? Cause.EntryBusy;
    const outcome = makeNotRunOutcome(cause, detail, {
      retryAfterMs: cause === Cause.EntryBusy ? SECOND_MS : undefined,
    });
    const { status, headers, body } = renderOutcome("", outcome);
    return { status, headers, body };
  }
}

async function receiveWork(node: EntryNode, c: Context): Promise<Response> {
  let body: string;
  try {
    body = await readBodyText(c.req);
  } catch (error) {
    const detail = `cannot read the body: ${String(error)}`;
    return sendRefusal(c, Cause.BadRequest, { detail });
  }
  const { id, outcome, dispatched } = node.submit({
    queue: c.req.param("queue") ?? "",
    authorization: c.req.header("authorization") ?? "",
    idempotencyKey: c.req.header("idempotency-key"),
    body,
  });
  if (!isAsyncPreferred(c)) return sendOutcome(c, await outcome, { id });
  const earlyOutcome = await Promise.race([outcome, dispatched]);
  if (earlyOutcome) return sendOutcome(c, earlyOutcome, { id });
  const location = `/v1/work/${id}`;
  return c.json({ work: id, state: WorkState.Pending }, 202, { location });
}

/** Sends the state of work, after cancelling it if `cancel` is set. */
async function sendWork(
  node: EntryNode,
  c: Context,
  options: { cancel: boolean },
): Promise<Response> {
  const id = c.req.param("id") ?? "";
  const [, key = ""] = (c.req.header("authorization") ?? "").split(" ");
  const team = findTeamOfKey(node.getConfiguration(), key);
  if (!team) {
    const detail = "a valid key is required: `Authorization: Bearer KEY`";
    return sendRefusal(c, Cause.Unauthenticated, { detail });
  }
  let view: WorkView | null;
  try {
    view = options.cancel
      ? await node.cancelWork(id, team)
      : await node.findWork(id, team);
  } catch {
    const detail = "the entry that accepted the work cannot be reached";
    return c.json({ title: "entry lost", status: 502, detail, work: id }, 502);
  }
  if (!view) {
    const detail = "this team has no such work, or its record has expired";
    return c.json({ title: "not found", status: 404, detail, work: id }, 404);
  }
  if (view.outcome) return sendOutcome(c, view.outcome, { id });
  return c.json({ work: id, state: view.state }, 202);
}

function sendRefusal(
  c: Context,
  cause: Cause,
  options: { detail: string },
): Response {
  return sendOutcome(c, makeNotRunOutcome(cause, options.detail), { id: "" });
}

function sendOutcome(
  c: Context,
  outcome: Outcome,
  options: { id: string },
): Response {
  const answer = renderOutcome(options.id, outcome);
  const status = answer.status as ContentfulStatusCode;
  return c.json(answer.body, status, answer.headers);
}

function isAsyncPreferred(c: Context): boolean {
  return (c.req.header("prefer") ?? "").includes("respond-async");
}

async function renderMetrics(node: EntryNode): Promise<string> {
  const { metrics } = node.parts;
  const { load } = node.describeSelf();
  metrics.setGauge("owned_endpoints", load.endpoints);
  metrics.setGauge("free_slots", load.freeSlots);
  metrics.setGauge("waiting", load.waiting);
  metrics.setGauge("config_version", node.config.state.head.version);
  return await metrics.renderText();
}
