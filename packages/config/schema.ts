import { z } from "zod";
import { WorkKind } from "../base/mod.ts";
import {
  DEFAULT_MAX_BODY_BYTES,
  DEFAULT_MAX_QUEUED,
  MAX_BODY_BYTES,
} from "./constants.ts";

/** Schema for the names of teams, queues and keys. */
export const nameSchema = z.string().regex(
  /^[a-z0-9][a-z0-9-]{0,62}$/,
  "must be 1 to 63 of a-z, 0-9 and `-`, and not begin with `-`",
);

const booleanSchema = z.union([
  z.boolean(),
  z.enum(["true", "false"]).transform((text) => text === "true"),
], "must be true or false");

/** Schema for a list: a value such as `a, b`, or repeated `key[]` lines. */
export const listSchema = z.union([
  z.array(z.string()),
  z.string().transform((text) =>
    text.split(",").map((part) => part.trim()).filter((part) => part !== "")
  ),
]);

/** Returns a schema for an integer from `min` to `max`, both included. */
export function makeIntegerSchema(
  min: number,
  max: number,
): z.ZodType<number> {
  const message = `must be a whole number from ${min} to ${max}`;
  return z.coerce.number(message).int(message).min(min, message).max(
    max,
    message,
  );
}

/** Schema for a `[team.NAME]` section. */
export const teamSchema = z.strictObject({
  share: makeIntegerSchema(1, 1_000_000),
  limit: makeIntegerSchema(0, 1_000_000),
});

/** Schema for a `[key.NAME]` section. */
export const keySchema = z.strictObject({
  team: nameSchema,
  hash: z.string().regex(
    /^[0-9a-f]{64}$/,
    "must be the 64 hexadecimal digits that `baobabhead key new` prints",
  ),
});

/** Schema for a `[queue.NAME]` section. */
export const queueSchema = z.strictObject({
  teams: listSchema.default([]),
  open: booleanSchema.default(false),
  open_team: z.string().default(""),
  kinds: listSchema.pipe(z.array(z.enum(WorkKind))).default([WorkKind.Batch]),
  urgent: booleanSchema.default(false),
  max_queued: makeIntegerSchema(1, 1_000_000).default(DEFAULT_MAX_QUEUED),
  max_body_bytes: makeIntegerSchema(1, MAX_BODY_BYTES).default(
    DEFAULT_MAX_BODY_BYTES,
  ),
});

/** Schema for a complete configuration. */
export const configurationSchema = z.strictObject({
  team: z.record(nameSchema, teamSchema).default({}),
  key: z.record(nameSchema, keySchema).default({}),
  queue: z.record(nameSchema, queueSchema).default({}),
});
