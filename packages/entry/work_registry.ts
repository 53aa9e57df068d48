import { Cause, type Outcome } from "../base/mod.ts";
import { WorkState, type WorkView } from "../peers/mod.ts";
import type { RequestContext } from "../pipeline/mod.ts";

interface WorkEntry {
  /** Dropped at the end, but for a service, which can still be stopped. */
  context?: RequestContext;
  team?: string;
  outcome?: Outcome;
  endedAt?: number;
}

/** Work that this entry has taken in, by id. */
export class WorkRegistry {
  readonly #work = new Map<string, WorkEntry>();
  #pending = 0;

  /** Number of requests without an outcome. */
  get pending(): number {
    return this.#pending;
  }

  /** Number of requests that are remembered. */
  get size(): number {
    return this.#work.size;
  }

  /** Registers a request. */
  add(context: RequestContext): void {
    this.#work.set(context.raw.id, { context });
    this.#pending += 1;
  }

  /** Records the outcome of a request. */
  finish(id: string, outcome: Outcome, options: { now: number }): void {
    const entry = this.#work.get(id);
    if (!entry || entry.outcome) return;
    entry.outcome = outcome;
    entry.team = entry.context?.team;
    if (outcome.cause !== Cause.Started) entry.context = undefined;
    entry.endedAt = options.now;
    this.#pending -= 1;
  }

  /** Returns a request of a team that can still be cancelled. */
  find(id: string, team: string): RequestContext | undefined {
    const entry = this.#work.get(id);
    return this.#isOfTeam(entry, team) ? entry?.context : undefined;
  }

  /** Describes a request for its team. */
  describe(id: string, team: string): WorkView | null {
    const entry = this.#work.get(id);
    if (!this.#isOfTeam(entry, team)) return null;
    const outcome = entry?.outcome;
    if (!outcome) return { id, state: WorkState.Pending };
    return { id, state: WorkState.Finished, outcome };
  }

  #isOfTeam(entry: WorkEntry | undefined, team: string): boolean {
    return (entry?.team ?? entry?.context?.team) === team;
  }

  /** Forgets outcomes that ended before a time. */
  expire(before: number): void {
    for (const [id, entry] of this.#work) {
      if (entry.endedAt !== undefined && entry.endedAt < before) {
        this.#work.delete(id);
      }
    }
  }
}
