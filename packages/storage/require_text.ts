import { FormatError } from "../base/mod.ts";
import type { StoredItem } from "./types.ts";

/**
 * Returns the value of an item.
 *
 * @throws {FormatError} when the stored bytes are not UTF-8; names the key
 */
export function requireText({ key, value, isUnreadable }: StoredItem): string {
  if (!isUnreadable) return value;
  throw new FormatError(`Cannot read ${key}: the value is not UTF-8`);
}

/**
 * Returns the value of an item, parsed as JSON; its type is not checked.
 *
 * @throws {FormatError} when it is not JSON in UTF-8; names the key
 */
export function requireJson<Value>(item: StoredItem): Value {
  const text = requireText(item);
  try {
    return JSON.parse(text) as Value;
  } catch (cause) {
    throw new FormatError(`Cannot read ${item.key}: not JSON`, { cause });
  }
}
