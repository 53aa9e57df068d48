import { EndpointEventKind } from "../../standins/endpoint_lifetime.ts";
import { type SoakEvent, SoakEventKind } from "../types.ts";

/** Waits in milliseconds, sorted; how many are over 3 s and over 10 s. */
export interface WaitSummary {
  /** From the crash of an endpoint to the next start of a task that ran there. */
  restarted: Waits;
  /** From the acceptance of a job to its first start. */
  first: Waits;
}

/** Quantiles of some waits, in milliseconds. */
export interface Waits {
  count: number;
  median: number;
  p95: number;
  max: number;
  over3s: number;
  over10s: number;
}

/** Measures how long tasks waited, from what callers and endpoints recorded. */
export function measureWaits(
  history: readonly SoakEvent[],
  endsAt: number,
): WaitSummary {
  const lostAt = new Map<string, number>();
  const acceptedAt = new Map<string, number>();
  const restarted: number[] = [];
  const first: number[] = [];
  for (const event of history) {
    if (event.kind === EndpointEventKind.Ended && event.detail === "crashed") {
      lostAt.set(event.task, event.at);
    } else if (event.kind === EndpointEventKind.Started) {
      const at = lostAt.get(event.task);
      if (at !== undefined) restarted.push(event.at - at);
      lostAt.delete(event.task);
      const job = event.task.split(".")[0];
      const since = acceptedAt.get(job);
      if (since !== undefined) first.push(Math.max(0, event.at - since));
      acceptedAt.delete(job);
    } else if (event.kind === SoakEventKind.Call && event.status === 200) {
      if (event.call === "submit") acceptedAt.set(event.job, event.at);
    }
  }
  for (const at of lostAt.values()) restarted.push(endsAt - at);
  return { restarted: summarizeWaits(restarted), first: summarizeWaits(first) };
}

function summarizeWaits(waits: number[]): Waits {
  waits.sort((a, b) => a - b);
  const at = (ratio: number) => waits[Math.floor(waits.length * ratio)] ?? 0;
  return {
    count: waits.length,
    median: at(0.5),
    p95: at(0.95),
    max: waits.at(-1) ?? 0,
    over3s: waits.filter((ms) => ms > 3_000).length,
    over10s: waits.filter((ms) => ms > 10_000).length,
  };
}
