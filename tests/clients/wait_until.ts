import { sleep } from "../standins/http_server.ts";
import { RETRY_MS, WAIT_MS } from "./constants.ts";

/** Waits until a condition holds; returns false if it never does. */
export async function waitUntil(
  isMet: () => boolean | Promise<boolean>,
): Promise<boolean> {
  const until = Date.now() + WAIT_MS;
  while (Date.now() < until) {
    if (await isMet()) return true;
    await sleep(RETRY_MS);
  }
  return false;
}
