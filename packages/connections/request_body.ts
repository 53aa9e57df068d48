import { Buffer } from "node:buffer";
import type { IncomingMessage } from "node:http";
import { JOINED_CHUNKS } from "./constants.ts";
import { LimitName } from "./types.ts";

/** Limits of one body. */
export interface BodyLimits {
  bytes: number;
  chunks: number;
}

/** A body that has met a limit, with what the caller is told. */
export interface BodyRefusal {
  limit: LimitName;
  detail: string;
}

/** Returns whether a request has a body. */
export function hasBody({ headers }: IncomingMessage): boolean {
  if (headers["transfer-encoding"] !== undefined) return true;
  const length = headers["content-length"];
  return length !== undefined && length !== "0";
}

/** Checks the size of a body that its headers announce. */
export function checkAnnouncedSize(
  { headers }: IncomingMessage,
  { bytes }: BodyLimits,
): BodyRefusal | undefined {
  const length = Number(headers["content-length"] ?? 0);
  return length <= bytes ? undefined : createSizeRefusal(bytes);
}

/**
 * Reads the body of a request. Resolves to its bytes, to a refusal as soon as it meets a
 * limit, or to undefined when the connection ends before the body.
 */
export function readBody(
  request: IncomingMessage,
  options: { limits: BodyLimits; onBytes: (length: number) => void },
): Promise<Buffer | BodyRefusal | undefined> {
  const { limits, onBytes } = options;
  return new Promise((resolve) => {
    const parts: Buffer[] = [];
    let chunks: Buffer[] = [];
    let chunkCount = 0;
    let length = 0;
    const finish = (result: Buffer | BodyRefusal | undefined) => {
      request.removeAllListeners("data");
      resolve(result);
    };
    request.on("data", (chunk: Buffer) => {
      chunks.push(chunk);
      if (chunks.length >= JOINED_CHUNKS) {
        parts.push(Buffer.concat(chunks));
        chunks = [];
      }
      chunkCount++;
      length += chunk.length;
      onBytes(chunk.length);
      if (length > limits.bytes) finish(createSizeRefusal(limits.bytes));
      else if (chunkCount > limits.chunks) {
        finish(createChunkRefusal(limits.chunks));
      }
    });
    request.once("end", () => {
      const all = parts.concat(chunks);
      finish(all.length === 1 ? all[0] : Buffer.concat(all));
    });
    // The connection's end is noticed by its owner; what was read is of no use.
    request.once("error", () => finish(undefined));
    request.once("close", () => finish(undefined));
  });
}

function createSizeRefusal(bytes: number): BodyRefusal {
  return {
    limit: LimitName.BodyBytes,
    detail: `the body is too large: more than ${bytes} bytes`,
  };
}

function createChunkRefusal(chunks: number): BodyRefusal {
  return {
    limit: LimitName.BodyChunks,
    detail: `the body has more than ${chunks} chunks`,
  };
}
