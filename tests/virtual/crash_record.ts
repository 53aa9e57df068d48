/** Crashes under a task after which only a few further starts are allowed. */
const FREE_CRASHES = 3;

/** Starts after the last free crash that break the platform's rule. */
const FORBIDDEN_STARTS = 3;

/** Counts the endpoints that tasks crash, and the starts after that. */
export class CrashRecord {
  /** Number of crashes by the task that caused them. */
  readonly #crashes = new Map<string, number>();
  /** Number of prompt starts after the last free crash, by task. */
  readonly #laterStarts = new Map<string, number>();

  /** Records that a task crashed an endpoint. */
  recordCrash(task: string): void {
    this.#crashes.set(task, this.countCrashes(task) + 1);
  }

  /** Records a start; one that an endpoint carried out late does not count. */
  recordStart(task: string, { isLate }: { isLate: boolean }): void {
    if (isLate || this.countCrashes(task) < FREE_CRASHES) return;
    this.#laterStarts.set(task, (this.#laterStarts.get(task) ?? 0) + 1);
  }

  /** Returns how many endpoints a task has crashed. */
  countCrashes(task: string): number {
    return this.#crashes.get(task) ?? 0;
  }

  /** Returns how many endpoints all tasks have crashed. */
  countAllCrashes(): number {
    return [...this.#crashes.values()].reduce((sum, count) => sum + count, 0);
  }

  /** Lists the tasks that were started too often although they crash endpoints. */
  listViolations(): string[] {
    return [...this.#laterStarts]
      .filter(([, starts]) => starts >= FORBIDDEN_STARTS)
      .map(([task, starts]) =>
        `${task} was started ${starts} times after it crashed ${FREE_CRASHES} endpoints`
      );
  }
}
