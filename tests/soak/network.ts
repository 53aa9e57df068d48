import { createServer, type Server } from "node:net";
import { request } from "undici";

const FIRST_NETWORK = 60;
const NETWORKS = 120;
const RESERVATION_PORT = 7_109;

/** Reserves addresses that no other soak on this machine uses. */
export async function reserveNetwork(
  seed: number,
): Promise<{ network: string; reservation: Server }> {
  for (let n = 0; n < NETWORKS; n++) {
    const network = `127.${FIRST_NETWORK + (seed + n) % NETWORKS}`;
    const reservation = createServer();
    const isFree = await new Promise<boolean>((resolve) => {
      reservation.once("error", () => resolve(false));
      reservation.listen(RESERVATION_PORT, `${network}.0.1`, () => {
        resolve(true);
      });
    });
    if (isFree) return { network, reservation };
  }
  throw new Error("Other soaks use all addresses");
}

/** Returns whether an entry says within this time that it is ready. */
export async function fetchReadiness(
  url: string,
  timeoutMs: number,
): Promise<boolean> {
  try {
    const answer = await request(url, {
      signal: AbortSignal.timeout(timeoutMs),
    });
    await answer.body.dump();
    return answer.statusCode === 200;
  } catch {
    return false;
  }
}
