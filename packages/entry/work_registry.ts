import { Cause, type Outcome } from "../base/mod.ts";
import { WorkState, type WorkView } from "../peers/mod.ts";
import type { RequestContext } from "../pipeline/mod.ts";

interface WorkRecord {
  /**
   * Removed once the work has its outcome, except for a started service, which
   * can still be cancelled.
   */
  context?: RequestContext;
  team?: string;
  outcome?: Outcome;
  endedAt?: number;
}

/** The requests that this entry has received, by id of their work. */
export class WorkRegistry {
  readonly #maxOutcomes: number;
  readonly #records = new Map<string, WorkRecord>();
  /** Ids of the requests with a final outcome, oldest first. */
  readonly #ended = new Set<string>();
  #pending = 0;
  /** Number of outcomes that were dropped for lack of room. */
  droppedCount = 0;

  /** `maxOutcomes`: final outcomes that are kept; the oldest is dropped for another. */
  constructor(maxOutcomes: number) {
    this.#maxOutcomes = maxOutcomes;
  }

  /** Number of requests without an outcome. */
  get pending(): number {
    return this.#pending;
  }

  /** Number of requests on record, with or without an outcome. */
  get size(): number {
    return this.#records.size;
  }

  /** Registers a request. */
  add(context: RequestContext): void {
    this.#records.set(context.raw.id, { context });
    this.#pending += 1;
  }

  /**
   * Records the outcome of a request. That of a request without a team is dropped:
   * nobody can ask for it.
   */
  finish(id: string, outcome: Outcome, options: { now: number }): void {
    const record = this.#records.get(id);
    if (!record || record.outcome) return;
    if (record.context?.team === undefined) {
      this.#records.delete(id);
      this.#pending -= 1;
      return;
    }
    record.outcome = outcome;
    record.team = record.context?.team;
    record.endedAt = options.now;
    this.#pending -= 1;
    // A started service can still be cancelled.
    if (outcome.cause === Cause.Started) return;
    record.context = undefined;
    this.#ended.add(id);
    this.#dropOldest();
  }

  #dropOldest(): void {
    if (this.#ended.size <= this.#maxOutcomes) return;
    const [oldest] = this.#ended;
    this.#ended.delete(oldest);
    this.#records.delete(oldest);
    this.droppedCount++;
  }

  /** Returns the context of a team's request if it can still be cancelled. */
  findCancellable(id: string, team: string): RequestContext | undefined {
    const record = this.#records.get(id);
    return this.#isOfTeam(record, team) ? record?.context : undefined;
  }

  /** Describes the state of a request for its team; null if unknown. */
  describe(id: string, team: string): WorkView | null {
    const record = this.#records.get(id);
    if (!this.#isOfTeam(record, team)) return null;
    const outcome = record?.outcome;
    if (!outcome) return { id, state: WorkState.Pending };
    return { id, state: WorkState.Finished, outcome };
  }

  #isOfTeam(record: WorkRecord | undefined, team: string): boolean {
    return (record?.team ?? record?.context?.team) === team;
  }

  /** Removes requests that ended before a time. */
  expire(endedBefore: number): void {
    for (const [id, record] of this.#records) {
      if (record.endedAt !== undefined && record.endedAt < endedBefore) {
        this.#records.delete(id);
        this.#ended.delete(id);
      }
    }
  }
}
