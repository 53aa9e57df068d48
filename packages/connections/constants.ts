import { MEBIBYTE } from "../base/mod.ts";
import type { ConnectionLimits } from "./types.ts";

/**
 * Default limits of the connections of callers. A caller that sends one request after
 * the other on each of its connections meets none of them: as many requests as
 * connections may be in process. Their memory fits beside an idle entry on a VM of 160 MB.
 */
export const DEFAULT_CONNECTION_LIMITS: ConnectionLimits = {
  connections: 1_000,
  requests_per_connection: 4,
  requests: 1_000,
  request_bytes: 8 * MEBIBYTE,
  body_chunks: 4_096,
  headers_ms: 60_000,
  request_ms: 60_000,
  answer_bytes: 8 * MEBIBYTE,
  answer_ms: 30_000,
};

/**
 * Part of the requests in process from which each connection may have one only: callers
 * that send ahead cause no refusals of those that don't.
 */
export const SENT_AHEAD_FRACTION = 0.5;

/**
 * Largest part of the bytes of requests that incomplete ones may hold, so that callers
 * who never finish theirs cause no refusals.
 */
export const PARTIAL_FRACTION = 0.5;

/** Chunks of a body after which they are joined: a chunk takes more than its bytes. */
export const JOINED_CHUNKS = 32;

/**
 * Largest part of what a process may open that callers' connections may use. The others
 * are for the store, the endpoints, other entries and files.
 */
export const DESCRIPTOR_FRACTION = 0.5;

/**
 * Largest number of bytes of one connection that are parsed at a time: some tens of the
 * shortest requests.
 */
export const SLICE_BYTES = 1_024;

/**
 * Slices that are parsed as they arrive, without a turn: more than an ordinary request
 * has.
 */
export const IMMEDIATE_SLICES = 8;

/**
 * Time of one turn of the event loop for parsing what connections have sent ahead, in
 * milliseconds: timers and the process's own connections wait no longer for it.
 */
export const PARSE_TURN_MS = 10;

/**
 * Time between two checks of the answers that wait to be sent, in milliseconds, and
 * between two log lines about limits that callers have met.
 */
export const CHECK_INTERVAL_MS = 1_000;

/** Time between two checks for requests that arrive too slowly, in milliseconds. */
export const SLOW_REQUEST_CHECK_MS = 5_000;
