import {
  type PlacedStarts,
  type PlacedTasks,
  RoomCurve,
} from "./room_curve.ts";

/** Tasks that are placed as of a level; a lower one is served first. */
export interface LevelTasks {
  level: number;
  tasks: PlacedTasks;
}

/**
 * The room that work of each level leaves to later levels. Answers submissions of
 * several priorities for each plan: each reads the curve of its own level.
 */
export class RoomLevels {
  /** The curve without waiting work, and those after each level with work. */
  readonly #curves: { level: number; curve: RoomCurve }[];

  /** `curve`: the room without any waiting work. */
  constructor(curve: RoomCurve) {
    this.#curves = [{ level: Number.NEGATIVE_INFINITY, curve }];
  }

  /** Returns the room that is left by work of this level and of lower ones. */
  getCurve(level: number): RoomCurve {
    return this.#curves[this.#findIndex(level)].curve;
  }

  /** Describes the free room now after each level, for a dump. */
  describe(): { level: number; milliCores: number }[] {
    return this.#curves.map(({ level, curve }) => ({
      level: Number.isFinite(level) ? level : -1,
      milliCores: Math.round(curve.getFree(0)),
    }));
  }

  /** Places waiting work, the lowest level first. */
  addBacklog(waiting: readonly LevelTasks[]): void {
    for (const { level, tasks } of waiting) {
      this.#getOwnCurve(level).addTasks(tasks);
    }
  }

  /** Places accepted work, which leaves less room to its level and later ones. */
  addTasks({ level, tasks }: LevelTasks): PlacedStarts {
    const starts = this.#getOwnCurve(level).addTasks(tasks);
    for (const later of this.#curves) {
      if (later.level > level) later.curve.addTasks(tasks);
    }
    return starts;
  }

  /** Returns the curve of exactly this level, which is made if it is missing. */
  #getOwnCurve(level: number): RoomCurve {
    const index = this.#findIndex(level);
    const found = this.#curves[index];
    if (found.level === level) return found.curve;
    const curve = found.curve.copy();
    this.#curves.splice(index + 1, 0, { level, curve });
    return curve;
  }

  #findIndex(level: number): number {
    return this.#curves.findLastIndex((found) => found.level <= level);
  }
}
