import { Buffer } from "node:buffer";
import { randomBytes, timingSafeEqual } from "node:crypto";
import { computeHash } from "../base/mod.ts";
import { KEY_PREFIX, KEY_SECRET_BYTES } from "./constants.ts";
import type { Configuration } from "./types.ts";

/** A new key. Its text is shown once; only the hash of the secret is stored. */
export interface NewKey {
  name: string;
  text: string;
  hash: string;
}

/** Creates a key with a random secret. */
export function createKey(name: string): NewKey {
  const secret = randomBytes(KEY_SECRET_BYTES).toString("base64url");
  return {
    name,
    text: `${KEY_PREFIX}.${name}.${secret}`,
    hash: computeHash(secret),
  };
}

/** Returns the team that a key belongs to, or undefined for an invalid key. */
export function findTeamOfKey(
  configuration: Configuration,
  text: string,
): string | undefined {
  const [prefix, name, secret] = text.split(".");
  if (prefix !== KEY_PREFIX || !name || !secret) return undefined;
  const key = Object.hasOwn(configuration.keys, name)
    ? configuration.keys[name]
    : undefined;
  if (!key || !matchesHash(secret, key.hash)) return undefined;
  return key.team in configuration.teams ? key.team : undefined;
}

/** Compares a secret with a stored hash, in constant time. */
export function matchesHash(secret: string, expectedHash: string): boolean {
  const actualDigest = Buffer.from(computeHash(secret), "hex");
  const expectedDigest = Buffer.from(expectedHash, "hex");
  return actualDigest.length === expectedDigest.length &&
    timingSafeEqual(actualDigest, expectedDigest);
}
