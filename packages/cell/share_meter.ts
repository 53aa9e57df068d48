/** Seconds of its share that an organisation may use at once. */
const BURST_S = 2;

interface Level {
  jobs: number;
  at: number;
}

/**
 * Answers the load "one organisation sends many times its usual": measures
 * whether a job is within its organisation's share of jobs a second.
 */
export class ShareMeter {
  readonly #levels = new Map<string, Level>();

  /** Counts one job and tells whether it lies beyond the share. */
  claimJob(
    organisation: string,
    options: { jobsPerSecond: number; now: number },
  ): boolean {
    const { jobsPerSecond, now } = options;
    if (jobsPerSecond <= 0) return false;
    const burst = Math.max(1, jobsPerSecond * BURST_S);
    const level = this.#levels.get(organisation) ?? { jobs: burst, at: now };
    const gained = (now - level.at) / 1_000 * jobsPerSecond;
    level.jobs = Math.min(burst, level.jobs + gained);
    level.at = now;
    this.#levels.set(organisation, level);
    if (level.jobs < 1) return true;
    level.jobs -= 1;
    return false;
  }
}
