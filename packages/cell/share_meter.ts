/** Capacity of a token bucket, in seconds of the organisation's share. */
const BURST_S = 2;

interface TokenBucket {
  tokens: number;
  refilledAt: number;
}

/**
 * Token bucket for each organisation. Determines which jobs exceed the
 * organisation's share of jobs per second, so that a burst from one does not
 * delay the others.
 */
export class ShareMeter {
  readonly #buckets = new Map<string, TokenBucket>();

  /** Takes a token for a job; true if none was left: the share is exceeded. */
  checkOverShare(
    organisation: string,
    options: { jobsPerSecond: number; now: number },
  ): boolean {
    const { jobsPerSecond, now } = options;
    if (jobsPerSecond <= 0) return false;
    const capacity = Math.max(1, jobsPerSecond * BURST_S);
    const bucket = this.#buckets.get(organisation) ??
      { tokens: capacity, refilledAt: now };
    const refilled = (now - bucket.refilledAt) / 1_000 * jobsPerSecond;
    bucket.tokens = Math.min(capacity, bucket.tokens + refilled);
    bucket.refilledAt = now;
    this.#buckets.set(organisation, bucket);
    if (bucket.tokens < 1) return true;
    bucket.tokens -= 1;
    return false;
  }
}
