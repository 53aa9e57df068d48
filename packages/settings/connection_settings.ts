import { z } from "zod";
import { makeIntegerSchema } from "../config/mod.ts";
import {
  type ConnectionLimits,
  DEFAULT_CONNECTION_LIMITS,
} from "../connections/mod.ts";

const MAX_COUNT = 1_000_000;
const MAX_BYTES = 1_073_741_824;
const MAX_MS = 600_000;

/** Creates the schema of a `[callers]` section: limits of callers' connections. */
export function createConnectionSchema(
  defaults: ConnectionLimits = DEFAULT_CONNECTION_LIMITS,
) {
  const makeSchema = (key: keyof ConnectionLimits, min: number, max: number) =>
    makeIntegerSchema(min, max).default(defaults[key]);
  return z.strictObject({
    connections: makeSchema("connections", 1, MAX_COUNT),
    requests_per_connection: makeSchema("requests_per_connection", 1, 1_000),
    requests: makeSchema("requests", 1, MAX_COUNT),
    request_bytes: makeSchema("request_bytes", 65_536, MAX_BYTES),
    body_chunks: makeSchema("body_chunks", 1, MAX_COUNT),
    headers_ms: makeSchema("headers_ms", 1_000, MAX_MS),
    request_ms: makeSchema("request_ms", 1_000, MAX_MS),
    answer_bytes: makeSchema("answer_bytes", 65_536, MAX_BYTES),
    answer_ms: makeSchema("answer_ms", 1_000, MAX_MS),
  }).prefault({});
}
