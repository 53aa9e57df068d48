import { assertInvariant } from "./errors.ts";

/** Size of the largest code point in UTF-8, in bytes. */
const MAX_CODE_POINT_BYTES = 4;

/**
 * Splits a text into parts of at most `maxBytes` bytes in UTF-8. No part ends inside a
 * code point, so that each can be encoded by itself; joined, the parts are the text. An
 * empty text has one part.
 *
 * @throws {InvariantError} when a code point does not fit into a part
 */
export function splitText(text: string, maxBytes: number): string[] {
  assertInvariant(
    maxBytes >= MAX_CODE_POINT_BYTES,
    `Cannot split a text into parts of ${maxBytes} bytes`,
  );
  const encoder = new TextEncoder();
  const buffer = new Uint8Array(maxBytes);
  const parts: string[] = [];
  let start = 0;
  do {
    const { read } = encoder.encodeInto(text.slice(start), buffer);
    parts.push(text.slice(start, start + read));
    start += read;
  } while (start < text.length);
  return parts;
}
