/** Usual lateness of the loop from which submissions are shed, in milliseconds. */
const SHED_FROM_MS = 25;

/** Lateness beyond `SHED_FROM_MS` that sheds one more class a tick, in milliseconds. */
const CLASS_LAG_MS = 200;

/** Largest rise and the fall of the level at a tick, in classes. */
const MAX_RISE = 0.5;
const FALL = 0.1;

/** Time for which a class counts after its last submission, in milliseconds. */
const CLASS_AGE_MS = 2_000;

/** Suggested retry delays of shed submissions, one after the other, in milliseconds. */
const RETRY_DELAYS_MS = [1_000, 2_000, 3_000];

/** What decides in which order submissions are shed. */
export interface SheddingClass {
  /** 0 is the most urgent. */
  priority: number;
  /** Its organisation wants more than its share. */
  isOverShare: boolean;
}

/** A submission that is refused, and when its caller may return. */
export interface ShedDecision {
  /** Classes that are shed; a fraction: a part of the next one. */
  level: number;
  retryAfterMs: number;
}

interface ClassState extends SheddingClass {
  seenAt: number;
  /** Part of a submission that is still to be shed. */
  rest: number;
}

/**
 * Refuses submissions while the owner's loop is late, before they cost it anything: those
 * beyond their share first, then the least urgent ones. Load: more submissions than the
 * owner's processor can carry. Served in turn, each step of a job waits for the processor,
 * and the work with the shortest objective is late first.
 */
export class LoadShedder {
  readonly #classes = new Map<string, ClassState>();
  #level = 0;
  #shedCount = 0;

  /** Number of classes that are shed; a fraction: a part of the next one. */
  get level(): number {
    return this.#level;
  }

  /** Notes by how much the loop is late, in milliseconds, once a tick. */
  noteLag(usualLagMs: number, now: number): void {
    for (const [name, { seenAt }] of this.#classes) {
      if (now - seenAt > CLASS_AGE_MS) this.#classes.delete(name);
    }
    const excessMs = usualLagMs - SHED_FROM_MS;
    const change = excessMs > 0
      ? Math.min(MAX_RISE, excessMs / CLASS_LAG_MS)
      : -FALL;
    const highest = this.#classes.size;
    this.#level = Math.min(highest, Math.max(0, this.#level + change));
  }

  /** Decides about a submission; `undefined`: it is not shed. */
  findRefusal(
    submission: SheddingClass,
    now: number,
  ): ShedDecision | undefined {
    const state = this.#noteClass(submission, now);
    const rank = this.#countShedBefore(state);
    state.rest += Math.min(1, Math.max(0, this.#level - rank));
    if (state.rest < 1) return undefined;
    state.rest--;
    const retryAfterMs =
      RETRY_DELAYS_MS[this.#shedCount++ % RETRY_DELAYS_MS.length];
    return { level: this.#level, retryAfterMs };
  }

  #noteClass(submission: SheddingClass, now: number): ClassState {
    const name = `${submission.priority} ${submission.isOverShare}`;
    const state = this.#classes.get(name) ??
      { ...submission, seenAt: now, rest: 0 };
    state.seenAt = now;
    this.#classes.set(name, state);
    return state;
  }

  /** Counts the classes that are shed before this one. */
  #countShedBefore({ priority, isOverShare }: SheddingClass): number {
    let count = 0;
    for (const other of this.#classes.values()) {
      const isBefore = other.isOverShare === isOverShare
        ? other.priority > priority
        : other.isOverShare;
      if (isBefore) count++;
    }
    return count;
  }
}
