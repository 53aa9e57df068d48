import { Buffer } from "node:buffer";
import { type Context, Hono } from "hono";
import { type Clock, NotSentError } from "../base/mod.ts";
import { type EvacuationReport, isDomainName } from "../evacuation/mod.ts";
import {
  type KeyValueStore,
  MAX_KEY_BYTES,
  TransactionResult,
} from "../storage/mod.ts";
import { EVACUATION_PREFIX } from "./constants.ts";
import type { SiteRecords } from "./ports.ts";

/** The dependencies of the operators' interface for evacuations. */
export interface EvacuationAppParts {
  store: KeyValueStore;
  records: SiteRecords;
  clock: Clock;
  /** Name of this entry. */
  entry: string;
  /** Returns whether the settings offer evacuations. */
  isOffered: () => boolean;
  /** Asks the cell's owner for the evacuations. */
  listEvacuations: () => Promise<EvacuationReport[]>;
}

/**
 * Creates the operators' interface for evacuations of failure domains. Any entry
 * writes the product's own record of a request; the owner reads it from the store.
 */
export function createEvacuationApp(parts: EvacuationAppParts): Hono {
  const app = new Hono();
  app.use("/v1/evacuations/*", async (c, next) => {
    if (parts.isOffered()) return await next();
    return c.json({ error: "[bounds] evacuation_ms is not set" }, 404);
  });
  app.get("/v1/evacuations", (c) =>
    handleErrors(c, async () => {
      return c.json({ evacuations: await parts.listEvacuations() });
    }));
  app.put("/v1/evacuations/:domain", (c) => {
    const domain = c.req.param("domain");
    if (!isDomainName(domain)) {
      return c.json({ error: "not the name of a failure domain" }, 400);
    }
    if (Buffer.byteLength(EVACUATION_PREFIX + domain) > MAX_KEY_BYTES) {
      return c.json({ error: "the name is too long for a key" }, 400);
    }
    return handleErrors(c, async () => {
      await submitEvacuation(parts, domain);
      return c.json({ domain, state: "requested" });
    });
  });
  app.delete("/v1/evacuations/:domain", (c) => {
    const domain = c.req.param("domain");
    return handleErrors(c, async () => {
      const isWithdrawn = await cancelRequest(parts, domain);
      if (!isWithdrawn) {
        return c.json(
          { error: "the request was written again meanwhile" },
          409,
        );
      }
      const { store, records } = parts;
      const platformKey = records.evacuationPrefix + domain;
      const isRequestedByPlatform = await store.get(platformKey) !== undefined;
      return c.json({
        domain,
        state: isRequestedByPlatform ? "requested_by_platform" : "withdrawn",
      });
    });
  });
  return app;
}

async function submitEvacuation(
  parts: EvacuationAppParts,
  domain: string,
): Promise<void> {
  const at = parts.clock.readWallTime();
  await parts.store.commit({
    expected: [],
    puts: [{
      key: EVACUATION_PREFIX + domain,
      value: JSON.stringify({ entry: parts.entry, at }),
    }],
    deletes: [],
  });
}

/** Deletes the product's own request; returns false if it was written meanwhile. */
async function cancelRequest(
  parts: EvacuationAppParts,
  domain: string,
): Promise<boolean> {
  const key = EVACUATION_PREFIX + domain;
  const item = await parts.store.get(key);
  if (!item) return true;
  const { result } = await parts.store.commit({
    expected: [{ key, revision: item.revision }],
    puts: [],
    deletes: [key],
  });
  return result === TransactionResult.Applied;
}

/** Answers 503 if a call had no effect, and 504 if it may have had one. */
async function handleErrors(
  c: Context,
  answer: () => Promise<Response>,
): Promise<Response> {
  try {
    return await answer();
  } catch (error) {
    const hasNoEffect = error instanceof NotSentError;
    return c.json({ error: String(error) }, hasNoEffect ? 503 : 504);
  }
}
