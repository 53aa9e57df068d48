import { Buffer, isUtf8 } from "node:buffer";
import { Agent, type Dispatcher, request } from "undici";
import { z } from "zod";
import {
  type Answer,
  BodyEncoding,
  FormatError,
  WorkKind,
} from "../base/mod.ts";
import { HttpJsonClient, isNotSent } from "../platform/mod.ts";
import {
  CONNECT_TIMEOUT_MS,
  CONTROL_TIMEOUT_MS,
  MAX_ANSWER_BYTES,
  TASK_ID_HEADER,
  TASK_STARTED_HEADER,
  TASK_STOPPED_HEADER,
} from "./constants.ts";
import { type EndpointAddress, EndpointClient } from "./endpoint_client.ts";
import {
  type EndpointListing,
  type TaskResult,
  TaskResultKind,
  type TaskStart,
} from "./types.ts";

const sizeSchema = z.object({
  cores: z.number(),
  memoryMb: z.number(),
  accelerators: z.number(),
});

const listingSchema = z.object({
  tasks: z.array(z.object({
    id: z.string(),
    labels: z.object({
      team: z.string(),
      starter: z.string(),
      queue: z.string(),
    }),
    kind: z.enum(WorkKind),
    size: sizeSchema,
  })),
  leaving: z.boolean(),
  usage: sizeSchema,
});

/** Client for the endpoint protocol over HTTP/1.1. */
export class HttpEndpointClient extends EndpointClient {
  readonly #taskAgent: Agent;
  readonly #controlClient: HttpJsonClient;

  constructor(options: { localAddress?: string } = {}) {
    super();
    const { localAddress } = options;
    const timeout = CONNECT_TIMEOUT_MS;
    // A task occupies its connection until its answer arrives; the number of
    // connections is not limited.
    this.#taskAgent = new Agent({
      connect: { timeout },
      localAddress,
      pipelining: 1,
    });
    this.#controlClient = new HttpJsonClient({
      connections: 1,
      connectTimeoutMs: timeout,
      localAddress,
    });
  }

  override async start(
    endpoint: EndpointAddress,
    task: TaskStart,
  ): Promise<TaskResult> {
    try {
      return await this.#exchangeTask(endpoint, task);
    } catch (error) {
      return makeFailureResult(error);
    }
  }

  override async renewLeases(
    endpoint: EndpointAddress,
    leaseMs: number,
  ): Promise<EndpointListing> {
    const answer = await this.#controlClient.send({
      method: "POST",
      url: `http://${endpoint.address}/v1/lease`,
      body: { lease_ms: leaseMs },
      timeoutMs: CONTROL_TIMEOUT_MS,
    });
    const parsed = listingSchema.safeParse(answer);
    if (parsed.success) return parsed.data;
    throw new FormatError(`Cannot parse the listing of ${endpoint.id}`);
  }

  override async stop(
    endpoint: EndpointAddress,
    taskId: string,
  ): Promise<void> {
    await this.#controlClient.send({
      method: "POST",
      url: `http://${endpoint.address}/v1/tasks/${taskId}/stop`,
      timeoutMs: CONTROL_TIMEOUT_MS,
    });
  }

  override async close(): Promise<void> {
    await Promise.all([this.#taskAgent.destroy(), this.#controlClient.close()]);
  }

  async #exchangeTask(
    endpoint: EndpointAddress,
    task: TaskStart,
  ): Promise<TaskResult> {
    const response = await request(`http://${endpoint.address}/v1/tasks`, {
      dispatcher: this.#taskAgent,
      method: "POST",
      headers: {
        "content-type": "application/json",
        [TASK_ID_HEADER]: task.id,
      },
      body: encodeTask(task),
      signal: AbortSignal.timeout(Math.max(1, task.timeoutMs)),
      headersTimeout: 0,
      bodyTimeout: 0,
    });
    const body = Buffer.from(await response.body.arrayBuffer());
    return makeTaskResult({ endpoint, task, response, body });
  }
}

interface TaskExchange {
  endpoint: EndpointAddress;
  task: TaskStart;
  response: Dispatcher.ResponseData;
  body: Buffer;
}

function makeTaskResult(exchange: TaskExchange): TaskResult {
  const { endpoint, task, response, body } = exchange;
  const { headers } = response;
  if (headers[TASK_ID_HEADER] !== task.id) {
    return makeUnknownResult(
      `answer of ${endpoint.id} does not have the id of the task`,
    );
  }
  if (headers[TASK_STARTED_HEADER] === "false") {
    const detail = `${endpoint.id} did not start the task`;
    return { kind: TaskResultKind.NotStarted, detail, reachable: true };
  }
  if (headers[TASK_STOPPED_HEADER] === "true") {
    const detail = `${endpoint.id} stopped the task`;
    return { kind: TaskResultKind.Stopped, detail };
  }
  if (Number(headers["content-length"]) !== body.length) {
    return makeUnknownResult(`answer of ${endpoint.id} is incomplete`);
  }
  if (body.length > MAX_ANSWER_BYTES) {
    return makeUnknownResult(`answer of ${endpoint.id} is too large`);
  }
  const answer = makeAnswer(exchange);
  // With status 201 the endpoint answers at the start of a service, not at its
  // end.
  const isRunning = task.kind === WorkKind.Service &&
    response.statusCode === 201;
  return isRunning
    ? { kind: TaskResultKind.Running, answer }
    : { kind: TaskResultKind.Answered, answer };
}

function makeAnswer(exchange: TaskExchange): Answer {
  const { endpoint, task, response, body } = exchange;
  const encoding = isUtf8(body) ? BodyEncoding.Utf8 : BodyEncoding.Base64;
  return {
    task: task.id,
    endpoint: endpoint.id,
    status: response.statusCode,
    contentType: String(response.headers["content-type"] ?? ""),
    encoding,
    body: body.toString(encoding),
  };
}

function encodeTask(task: TaskStart): string {
  return JSON.stringify({
    id: task.id,
    labels: task.labels,
    kind: task.kind,
    size: task.size,
    lease_ms: task.leaseMs,
    payload: task.payload,
  });
}

/** Converts a failed request into a result. */
function makeFailureResult(error: unknown): TaskResult {
  const detail = error instanceof Error ? error.message : String(error);
  if (isNotSent(error)) {
    return { kind: TaskResultKind.NotStarted, detail, reachable: false };
  }
  return makeUnknownResult(detail);
}

function makeUnknownResult(detail: string): TaskResult {
  return { kind: TaskResultKind.Unknown, detail };
}
