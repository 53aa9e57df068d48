import { readFileSync } from "node:fs";
import { isIP } from "node:net";
import { z } from "zod";
import { BaobabheadError } from "../base/mod.ts";
import {
  type ConfigIssue,
  describeIssue,
  findLine,
  formatIssue,
  makeIntegerSchema,
  nameSchema,
  parseIni,
} from "../config/mod.ts";
import { createConnectionSchema } from "./connection_settings.ts";
import {
  DEFAULT_DIRECT_LIMITS,
  DEFAULT_HEARTBEAT_MS,
  DEFAULT_KEPT_OUTCOMES,
  DEFAULT_PLATFORM_TIMEOUT_MS,
  DEFAULT_POLL_MS,
  DEFAULT_TASK_LEASE_MS,
  DEFAULT_VM_LIST_LAG_MS,
} from "./constants.ts";
import type { Address, Settings } from "./types.ts";

/** Thrown when settings are invalid; lists every issue. */
export class SettingsError extends BaobabheadError {
  readonly issues: ConfigIssue[];

  constructor(issues: ConfigIssue[]) {
    super(
      `Cannot use the settings:\n${issues.map(formatIssue).join("\n")}`,
    );
    this.issues = issues;
  }
}

/** Schema for an IP address and a port, such as `10.0.0.7:8080`. */
export const addressSchema = z.string().transform((text, context): Address => {
  const address = parseAddress(text);
  if (address) return address;
  context.addIssue({
    code: "custom",
    message: "must be an IP address and a port, such as 10.0.0.7:8080",
  });
  return z.NEVER;
});

const urlSchema = z.url({
  protocol: /^https?$/,
  error: "must be a URL with http or https",
});

const settingsSchema = z.strictObject({
  vm: z.strictObject({ id: nameSchema, domain: nameSchema }),
  listen: z.strictObject({
    callers: addressSchema,
    peers: addressSchema,
    advertise_peers: addressSchema.optional(),
  }),
  callers: createConnectionSchema(DEFAULT_DIRECT_LIMITS),
  work: z.strictObject({
    kept_outcomes: makeIntegerSchema(1, 10_000_000).default(
      DEFAULT_KEPT_OUTCOMES,
    ),
  }).prefault({}),
  platform: z.strictObject({
    store: urlSchema,
    vm_list: urlSchema,
    vm_list_lag_ms: makeIntegerSchema(0, 600_000).default(
      DEFAULT_VM_LIST_LAG_MS,
    ),
    timeout_ms: makeIntegerSchema(10, 60_000).default(
      DEFAULT_PLATFORM_TIMEOUT_MS,
    ),
  }),
  operators: z.strictObject({
    key_hash: z.string().regex(
      /^[0-9a-f]{64}$/,
      "must be the 64 hexadecimal digits that `baobabhead key new` prints",
    ),
  }),
  peers: z.strictObject({
    token: z.string().min(16, "must have at least 16 characters"),
    heartbeat_ms: makeIntegerSchema(50, 60_000).default(DEFAULT_HEARTBEAT_MS),
  }),
  endpoints: z.strictObject({
    poll_ms: makeIntegerSchema(50, 60_000).default(DEFAULT_POLL_MS),
    task_lease_ms: makeIntegerSchema(1_000, 3_600_000).default(
      DEFAULT_TASK_LEASE_MS,
    ),
  }).prefault({}),
  log: z.strictObject({
    level: z.enum(["debug", "info", "warn", "error"]).default("info"),
  }).prefault({}),
});

/**
 * Reads and validates a settings file.
 *
 * @throws {SettingsError} with every issue in the file
 */
export function readSettings(file: string): Settings {
  return parseSettings(file, readFileSync(file, "utf8"));
}

/**
 * Parses and validates the text of a settings file.
 *
 * @throws {SettingsError} with every issue in the text
 */
export function parseSettings(file: string, text: string): Settings {
  return parseWithSchema(settingsSchema, file, { text });
}

/**
 * Parses the text of a settings file and validates it against a schema.
 *
 * @throws {SettingsError} with every issue in the text
 */
export function parseWithSchema<Schema extends z.ZodType>(
  schema: Schema,
  file: string,
  options: { text: string },
): z.infer<Schema> {
  const document = parseIni(file, options.text);
  const parsed = schema.safeParse(document.values);
  const issues = [...document.issues];
  if (!parsed.success) {
    issues.push(...parsed.error.issues.map((issue) => ({
      file,
      line: findLine(document, issue.path),
      key: issue.path.join("."),
      message: describeIssue(issue),
    })));
  }
  if (!parsed.success || issues.length > 0) throw new SettingsError(issues);
  return parsed.data;
}

/** Formats an address as `host:port`; IPv6 hosts are put in brackets. */
export function formatAddress(address: Address): string {
  const host = isIP(address.host) === 6 ? `[${address.host}]` : address.host;
  return `${host}:${address.port}`;
}

function parseAddress(text: string): Address | undefined {
  const match = /^\[?([0-9a-f.:]+?)\]?:(\d{1,5})$/i.exec(text);
  if (!match || isIP(match[1]) === 0) return undefined;
  const port = Number(match[2]);
  return port >= 1 && port <= 65_535 ? { host: match[1], port } : undefined;
}
