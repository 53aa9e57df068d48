import type { IncomingMessage } from "node:http";

/** Limits of the connections to one listening address; the keys are those of the settings. */
export interface ConnectionLimits {
  /** Open connections. */
  connections: number;
  /** Requests of one connection whose answers are not complete. */
  requests_per_connection: number;
  /** Requests in process, of all connections. */
  requests: number;
  /** Bytes of requests that are received, or held while they are in process. */
  request_bytes: number;
  /** Chunks of one body. */
  body_chunks: number;
  /** Time in which the headers of a request must arrive, in milliseconds. */
  headers_ms: number;
  /** Time in which a whole request must arrive, in milliseconds. */
  request_ms: number;
  /** Bytes of answers that wait to be sent, of all connections. */
  answer_bytes: number;
  /** Longest time for which a connection's answers wait to be sent, in milliseconds. */
  answer_ms: number;
}

/** A limit that callers have met; the value names it in metrics and logs. */
export enum LimitName {
  Connections = "connections",
  Requests = "requests",
  RequestBytes = "request_bytes",
  BodyBytes = "body_bytes",
  BodyChunks = "body_chunks",
  AnswerBytes = "answer_bytes",
  AnswerTime = "answer_ms",
  Expectation = "expectation",
}

/** How large the body of a request may be. */
export interface BodyAllowance {
  bytes: number;
  /** Its bytes are not counted: the caller is known to be an operator. */
  isTrusted: boolean;
}

/** A request that is answered without being passed on. */
export interface RefusedRequest {
  limit: LimitName;
  detail: string;
  request: IncomingMessage;
}

/** An answer to a refused request; `body` is sent as JSON. */
export interface RefusalAnswer {
  status: number;
  headers: Record<string, string>;
  body: unknown;
}

/** Writes refusals in the form of an interface, with what the caller can rely on. */
export abstract class RefusalFormat {
  /** Renders the answer to a request that was not passed on. */
  abstract renderRefusal(refused: RefusedRequest): RefusalAnswer;
}
