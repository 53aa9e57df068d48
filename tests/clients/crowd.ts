import { type ChildProcess, spawn } from "node:child_process";
import process from "node:process";
import { sleep } from "../standins/http_server.ts";
import type { CrowdOptions } from "./crowd_host.ts";

/** Time for which a crowd presses, in milliseconds. */
export const PRESS_MS = 4_000;

/** Crowds that run; they end with this process. */
const crowds = new Set<ChildProcess>();
process.once("exit", () => {
  for (const crowd of crowds) crowd.kill("SIGKILL");
});

/** Starts a crowd of clients; returns a function that ends it. */
export function startCrowd(options: CrowdOptions): () => Promise<void> {
  const script = "dist/tests/clients/crowd_host.js";
  const crowd = spawn(process.execPath, [script], {
    stdio: ["pipe", "ignore", "inherit"],
  });
  crowd.stdin.end(JSON.stringify(options));
  crowds.add(crowd);
  const ended = new Promise<void>((resolve) => {
    crowd.once("exit", () => {
      crowds.delete(crowd);
      resolve();
    });
  });
  return async () => {
    crowd.kill("SIGKILL");
    await ended;
  };
}

/** Lets a crowd press for `PRESS_MS`; calls `meanwhile` before it ends. */
export async function pressWith(
  options: CrowdOptions,
  meanwhile: () => Promise<void> = () => Promise.resolve(),
): Promise<void> {
  const stop = startCrowd(options);
  try {
    await sleep(PRESS_MS);
    await meanwhile();
  } finally {
    await stop();
  }
}
