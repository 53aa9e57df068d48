/**
 * Splits a text into parts of at most `maxLength` UTF-16 code units, at least 2. No
 * part ends inside a code point, so that each can be encoded by itself; joined, the
 * parts are the text. An empty text has one part.
 */
export function splitText(text: string, maxLength: number): string[] {
  const parts: string[] = [];
  let start = 0;
  do {
    let end = Math.min(start + maxLength, text.length);
    if (isInsideCodePoint(text, end)) end--;
    parts.push(text.slice(start, end));
    start = end;
  } while (start < text.length);
  return parts;
}

function isInsideCodePoint(text: string, index: number): boolean {
  return index > 0 && (text.codePointAt(index - 1) ?? 0) > 0xffff;
}
