/**
 * Clients that send without reading, as a process of their own: what they cost must not
 * slow down the site under test. Ends on SIGTERM.
 *
 * Usage: node crowd_host.js, with `CrowdOptions` as JSON on standard input
 */
import { connect, type Socket } from "node:net";
import process from "node:process";
import { json } from "node:stream/consumers";
import { sleep } from "../standins/http_server.ts";

/** What a crowd of clients does. */
export interface CrowdOptions {
  host: string;
  port: number;
  connections: number;
  /** Sent once at the start of each connection. */
  head?: string;
  /** Sent again and again, as fast as it is taken. */
  repeated?: string;
  /** Times that `repeated` is sent on a connection; unlimited by default. */
  times?: number;
  /** Resets the connection after this time, in ms, and opens the next one. */
  resetAfterMs?: number;
}

/** Pause before a closed connection is opened again, in milliseconds. */
const RECONNECT_PAUSE_MS = 50;
const KEEP_ALIVE_MS = 60_000;
/** Size of one write of repeated text, in bytes. */
const WRITE_BYTES = 65_536;

const options = await json(process.stdin) as CrowdOptions;

function createBatches({ repeated = "", times }: CrowdOptions): string[] {
  if (!repeated) return [];
  const perWrite = Math.max(1, Math.floor(WRITE_BYTES / repeated.length));
  if (times === undefined) return [repeated.repeat(perWrite)];
  const batches: string[] = [];
  for (let rest = times; rest > 0; rest -= perWrite) {
    batches.push(repeated.repeat(Math.min(rest, perWrite)));
  }
  return batches;
}

const batches = createBatches(options);
const isEndless = options.times === undefined;

function pump(socket: Socket, sent = 0): void {
  const batch = batches[isEndless ? 0 : sent];
  if (batch === undefined || socket.destroyed) return;
  const next = () => setImmediate(pump, socket, sent + 1);
  if (socket.write(batch)) next();
  else socket.once("drain", next);
}

/** Runs one connection until it is closed. */
function runConnection(): Promise<void> {
  const { host, port, head, resetAfterMs } = options;
  return new Promise((resolve) => {
    const socket = connect({ host, port });
    // The server may refuse, close or reset a connection at any time.
    socket.on("error", () => {});
    socket.once("close", () => resolve());
    socket.once("connect", () => {
      socket.pause();
      if (head) socket.write(head);
      pump(socket);
      if (resetAfterMs === undefined) return;
      setTimeout(() => socket.resetAndDestroy(), resetAfterMs);
    });
  });
}

async function runClient(): Promise<void> {
  while (true) {
    await runConnection();
    await sleep(RECONNECT_PAUSE_MS);
  }
}

for (let n = 0; n < options.connections; n++) void runClient();
// Sockets that neither read nor write do not keep a process alive.
setInterval(() => {}, KEEP_ALIVE_MS);
