import { validate, version } from "uuid";
import { Buffer } from "node:buffer";
import { computeBucket } from "../base/mod.ts";
import { SHARDS_PER_DOMAIN } from "../membership/mod.ts";

const UUID_V7 = 7;

/** A parsed idempotency key: `UUIDv7` or `domain/UUIDv7`. */
export interface IdempotencyKey {
  text: string;
  /** Failure domain that the caller chose for the key's home. */
  domain?: string;
  /** Creation time of the key, in milliseconds since the Unix epoch. */
  createdAt: number;
}

/** Parses a key; returns undefined if it is malformed. */
export function parseKey(text: string): IdempotencyKey | undefined {
  const slashIndex = text.indexOf("/");
  const id = text.slice(slashIndex + 1);
  if (!validate(id) || version(id) !== UUID_V7) return undefined;
  const timestampHex = id.replaceAll("-", "").slice(0, 12);
  const createdAt = Buffer.from(timestampHex, "hex").readUIntBE(0, 6);
  if (slashIndex < 0) return { text, createdAt };
  return { text, domain: text.slice(0, slashIndex), createdAt };
}

/** Returns the shard of a key; the owner of that shard is the key's home. */
export function findKeyShard(key: string): number {
  return computeBucket(`home ${key}`, SHARDS_PER_DOMAIN);
}

/** Returns the failure domain and the shard that determine a key's home. */
export function findHome(
  key: IdempotencyKey,
  domains: readonly string[],
): { domain: string; shard: number } {
  const sorted = [...domains].sort();
  const domain = key.domain ?? sorted[computeBucket(key.text, sorted.length)];
  return { domain, shard: findKeyShard(key.text) };
}
