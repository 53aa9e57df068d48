import { Buffer, isUtf8 } from "node:buffer";
import { assertInvariant, FormatError } from "./errors.ts";

const BYTE_ORDER_MARK = "\ufeff";

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

/**
 * Decodes a text as it was encoded: a byte order mark is data. Returns undefined if the
 * bytes are not UTF-8, instead of a text with replacement characters.
 */
export function decodeUtf8(bytes: Buffer): string | undefined {
  return isUtf8(bytes) ? bytes.toString() : undefined;
}

/**
 * Drops a byte order mark at the start of a JSON document of another writer, where it
 * tells the encoding (RFC 8259, section 8.1).
 */
export function dropByteOrderMark(document: string): string {
  return document.startsWith(BYTE_ORDER_MARK) ? document.slice(1) : document;
}

/**
 * Decodes a JSON document that was received over HTTP, without a byte order mark at its
 * start. Returns undefined if the bytes are not UTF-8.
 */
export function decodeDocument(bytes: Buffer): string | undefined {
  const text = decodeUtf8(bytes);
  return text === undefined ? undefined : dropByteOrderMark(text);
}

/**
 * Reads the body of a request, a JSON document, as text.
 *
 * @throws {FormatError} when it is not UTF-8
 */
export async function readBodyText(
  request: { arrayBuffer: () => Promise<ArrayBuffer> },
): Promise<string> {
  const text = decodeDocument(Buffer.from(await request.arrayBuffer()));
  if (text === undefined) throw new FormatError("the body is not UTF-8");
  return text;
}

/**
 * Decodes the value of a received HTTP header, in which each byte is one character. A
 * value that is not UTF-8 is taken as Latin-1.
 */
export function decodeHeader(value: string): string {
  if (isAscii(value)) return value;
  return decodeUtf8(Buffer.from(value, "latin1")) ?? value;
}

/** Encodes a text in UTF-8 as the value of an HTTP header, one character a byte. */
export function encodeHeader(text: string): string {
  return isAscii(text) ? text : Buffer.from(text).toString("latin1");
}

function isAscii(text: string): boolean {
  return Buffer.byteLength(text) === text.length;
}
