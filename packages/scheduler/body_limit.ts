import type { MiddlewareHandler } from "hono";
import { bodyLimit } from "hono/body-limit";

/**
 * Creates a middleware that answers 413 to a body above `maxSize` bytes. A body
 * without `transfer-encoding` is checked by its `content-length` alone, because
 * wrapping the body stream is expensive.
 */
export function createBodyLimit(maxSize: number): MiddlewareHandler {
  const limitStream = bodyLimit({ maxSize });
  return async (c, next) => {
    if (c.req.header("transfer-encoding") !== undefined) {
      return await limitStream(c, next);
    }
    const size = Number(c.req.header("content-length") ?? 0);
    if (!(size <= maxSize)) {
      return c.json({ error: "the body is too large" }, 413);
    }
    await next();
  };
}
