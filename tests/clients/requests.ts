/** An unfinished or repeated request, as text. */
export interface RequestText {
  method?: string;
  path: string;
  headers?: Record<string, string>;
  body?: string;
}

/** Formats a request as it is sent. */
export function formatRequest(
  { method = "GET", path, headers = {}, body }: RequestText,
): string {
  const length = body === undefined || headers["transfer-encoding"]
    ? {}
    : { "content-length": String(body.length) };
  const lines = Object.entries({ ...headers, ...length })
    .map(([name, value]) => `${name}: ${value}\r\n`);
  return `${method} ${path} HTTP/1.1\r\n${lines.join("")}\r\n${body ?? ""}`;
}

/** Formats a text as one chunk of a body. */
export function formatChunk(text: string): string {
  return `${text.length.toString(16)}\r\n${text}\r\n`;
}
