import type { WorkAhead } from "./job_forecast.ts";

/** Largest number of refused ids that are remembered; about 1 MB. */
const MAX_REFUSED_JOBS = 4_000;

/** Refusals after which an id is forgotten: callers retry up to four times. */
const MAX_REFUSALS = 5;

/** Time after its announced return for which a refused id is remembered, in ms. */
const LATE_RETURN_MS = 2_000;

const SECOND_MS = 1_000;

/**
 * Length of the intervals in which returns are counted, in milliseconds: callers come back
 * at the time that they were told, apart from the network.
 */
const SLOT_MS = 250;

/** What a refused job would have taken. */
export interface RefusedWork {
  /** Name of the queue. */
  queue: string;
  /** Its level in the order of service. */
  level: number;
  /** Thousandths of a core that the first steps need. */
  milliCores: number;
  /** The same times their predicted run time, in ms. */
  work: number;
}

/** A job that was refused and may be submitted again. Times: steady clock, in ms. */
export interface RefusedJob extends RefusedWork {
  firstAt: number;
  refusals: number;
  /** When the caller was asked to come back. */
  returnsAt: number;
}

/** Refused jobs of one queue that return in one interval. */
interface ReturnSlot {
  count: number;
  /** Their work by level. */
  levels: Map<number, { milliCores: number; work: number }>;
}

/**
 * Remembers refused ids, so that a caller who comes back goes before newcomers of its
 * queue, and spreads the returns over seconds. Load: a burst in which many callers are
 * refused at a moment; all of them would return together.
 */
export class RefusedJobs {
  /** By id, the oldest refusal first. */
  readonly #jobs = new Map<string, RefusedJob>();
  /** Announced returns, by queue and interval. */
  readonly #slots = new Map<string, Map<number, ReturnSlot>>();

  /** Number of remembered ids. */
  get size(): number {
    return this.#jobs.size;
  }

  /** Finds a refused job that may still return. */
  find(id: string, now: number): RefusedJob | undefined {
    const job = this.#jobs.get(id);
    return job && now <= job.returnsAt + LATE_RETURN_MS ? job : undefined;
  }

  /** Forgets a refused job and its announced return. */
  remove(id: string): void {
    const job = this.#jobs.get(id);
    if (!job) return;
    this.#jobs.delete(id);
    const slots = this.#slots.get(job.queue);
    const slot = slots?.get(computeSlot(job.returnsAt));
    if (!slot) return;
    slot.count--;
    const total = slot.levels.get(job.level);
    if (!total) return;
    total.milliCores -= job.milliCores;
    total.work -= job.work;
  }

  /**
   * Chooses in how many whole seconds a caller returns, from `earliestS` to `latestS`:
   * when the fewest others of its queue do, sooner among equals.
   */
  chooseReturn(
    queue: string,
    options: { earliestS: number; latestS: number; now: number },
  ): number {
    const { earliestS, latestS, now } = options;
    const slots = this.#slots.get(queue);
    let chosen = earliestS;
    let fewest = Number.POSITIVE_INFINITY;
    for (let seconds = earliestS; seconds <= latestS; seconds++) {
      const returnsIn = computeSlot(now + seconds * SECOND_MS);
      const count = slots?.get(returnsIn)?.count ?? 0;
      if (count >= fewest) continue;
      fewest = count;
      chosen = seconds;
    }
    return chosen;
  }

  /** Remembers a refusal; an id that was refused too often is forgotten. */
  note(
    id: string,
    options: { work: RefusedWork; returnsAt: number; now: number },
  ): void {
    const { work, returnsAt, now } = options;
    const known = this.find(id, now);
    this.remove(id);
    const refusals = (known?.refusals ?? 0) + 1;
    if (refusals >= MAX_REFUSALS) return;
    const firstAt = known?.firstAt ?? now;
    this.#jobs.set(id, { ...work, firstAt, refusals, returnsAt });
    this.#addToSlot(work, returnsAt);
    this.#dropOld(now);
  }

  /**
   * Computes the work of the refused jobs of a queue, up to a level, that return in this
   * interval or were to return in the last one. Callers who do not return hold up nobody
   * for longer, and those beyond their share nobody who is within it.
   */
  computeWorkAhead(
    queue: string,
    { level, now }: { level: number; now: number },
  ): WorkAhead | undefined {
    const slots = this.#slots.get(queue);
    if (!slots) return undefined;
    const current = computeSlot(now);
    let milliCores = 0;
    let work = 0;
    for (const due of [slots.get(current - 1), slots.get(current)]) {
      for (const [dueLevel, total] of due?.levels ?? []) {
        if (dueLevel > level) continue;
        milliCores += total.milliCores;
        work += total.work;
      }
    }
    return milliCores > 0
      ? { milliCores, durationMs: work / milliCores }
      : undefined;
  }

  /** Returns whether refused jobs of a queue, up to a level, are to return. */
  hasReturns(
    queue: string,
    { level, now }: { level: number; now: number },
  ): boolean {
    const oldest = computeSlot(now) - 1;
    for (const [interval, { levels }] of this.#slots.get(queue) ?? []) {
      if (interval < oldest) continue;
      for (const [dueLevel, { milliCores }] of levels) {
        if (dueLevel <= level && milliCores > 0) return true;
      }
    }
    return false;
  }

  #addToSlot(work: RefusedWork, returnsAt: number): void {
    const { queue, level } = work;
    const slots = this.#slots.get(queue) ?? new Map<number, ReturnSlot>();
    this.#slots.set(queue, slots);
    const interval = computeSlot(returnsAt);
    const slot: ReturnSlot = slots.get(interval) ??
      { count: 0, levels: new Map() };
    slots.set(interval, slot);
    slot.count++;
    const total = slot.levels.get(level) ?? { milliCores: 0, work: 0 };
    slot.levels.set(level, total);
    total.milliCores += work.milliCores;
    total.work += work.work;
  }

  /** Forgets ids beyond the limits of number and time, and past intervals. */
  #dropOld(now: number): void {
    for (const [id, { returnsAt }] of this.#jobs) {
      const isOld = now > returnsAt + LATE_RETURN_MS;
      if (!isOld && this.#jobs.size <= MAX_REFUSED_JOBS) break;
      this.remove(id);
    }
    const oldest = computeSlot(now) - 1;
    for (const slots of this.#slots.values()) {
      for (const interval of slots.keys()) {
        if (interval < oldest) slots.delete(interval);
      }
    }
  }
}

function computeSlot(at: number): number {
  return Math.floor(at / SLOT_MS);
}
