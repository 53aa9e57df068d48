import test from "ava";
import { Hono } from "hono";
import { createBodyLimit } from "./body_limit.ts";

const MAX_BYTES = 10;

async function post(
  body: string,
  headers: Record<string, string>,
): Promise<number> {
  const app = new Hono();
  app.use(createBodyLimit(MAX_BYTES));
  app.post("/", async (c) => c.text(await c.req.text()));
  const response = await app.request("/", { method: "POST", headers, body });
  return response.status;
}

test("a body above the limit is refused with or without its length", async (t) => {
  const createLengthHeader = (text: string) => ({
    "content-length": String(text.length),
  });
  t.is(await post("0123456789", createLengthHeader("0123456789")), 200);
  t.is(await post("0123456789a", createLengthHeader("0123456789a")), 413);
  const chunked = { "transfer-encoding": "chunked" };
  t.is(await post("0123456789", chunked), 200);
  t.is(await post("0123456789a", chunked), 413);
  t.is(await post("x", { "content-length": "none" }), 413);
});
