import { type Context, Hono } from "hono";
import { z } from "zod";
import { bodyLimit } from "hono/body-limit";
import { MEBIBYTE, readBodyText } from "../base/mod.ts";
import {
  type ConfigItems,
  configurationSchema,
  listAcceptedItems,
  listNewestItems,
  matchesHash,
  splitConfiguration,
} from "../config/mod.ts";
import { ConfigConflictError } from "./config_service.ts";
import { describeStatus, dumpState } from "./dump.ts";
import type { EntryNode } from "./entry_node.ts";

/** Path of the operators' interface on the callers' address. */
export const OPERATOR_PATH = "/v1/admin";

/** Largest body of an operator's request, in bytes. */
export const MAX_CONFIG_BYTES = 32 * MEBIBYTE;

const applySchema = z.strictObject({
  base: z.number().int().min(0),
  author: z.string().min(1).max(200),
  configuration: configurationSchema,
});

/** Returns whether an `Authorization` header has the operators' key. */
export function isOperator(authorization: string, keyHash: string): boolean {
  const [, key = ""] = authorization.split(" ");
  return matchesHash(key.split(".")[2] ?? "", keyHash);
}

/** Creates the HTTP application for operators, mounted at `OPERATOR_PATH`. */
export function createOperatorApp(
  node: EntryNode,
  onDrain: () => void,
): Hono {
  const app = new Hono();
  const { key_hash } = node.parts.settings.operators;
  app.use("*", async (c, next) => {
    if (!isOperator(c.req.header("authorization") ?? "", key_hash)) {
      return c.json({ error: "A valid operator key is required" }, 401);
    }
    await next();
  });
  app.get("/status", (c) => c.json(describeStatus(node)));
  app.get("/dump", (c) => c.json(dumpState(node)));
  app.post("/drain", (c) => {
    onDrain();
    return c.json({ draining: true }, 202);
  });
  app.get("/config", (c) => c.json(describeConfig(node)));
  const bodySizeLimit = bodyLimit({ maxSize: MAX_CONFIG_BYTES });
  app.post("/config", bodySizeLimit, (c) => applyConfig(node, c));
  return app;
}

function describeConfig(node: EntryNode) {
  const { state } = node.config;
  return {
    head: state.head,
    newest: listNewestItems(state),
    accepted: listAcceptedItems(state),
  };
}

async function applyConfig(node: EntryNode, c: Context): Promise<Response> {
  let body: unknown;
  try {
    body = JSON.parse(await readBodyText(c.req));
  } catch (error) {
    return c.json({ error: `cannot read the body: ${String(error)}` }, 400);
  }
  const parsed = applySchema.safeParse(body);
  if (!parsed.success) {
    return c.json({ error: z.prettifyError(parsed.error) }, 400);
  }
  const { base, author, configuration } = parsed.data;
  const items: ConfigItems = splitConfiguration({
    teams: configuration.team,
    keys: configuration.key,
    queues: configuration.queue,
  });
  try {
    return c.json(await node.config.apply(items, { base, author }));
  } catch (error) {
    if (error instanceof ConfigConflictError) {
      return c.json({ error: error.message, head: error.head }, 409);
    }
    return c.json({ error: String(error) }, 503);
  }
}
