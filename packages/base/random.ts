import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { RandomGenerator } from "pure-rand/types/RandomGenerator";

/**
 * Random number generator for scheduling decisions. Injecting one with a fixed
 * seed makes a run reproducible.
 */
export abstract class Random {
  /** Returns a number in the range [0, 1). */
  abstract drawFloat(): number;

  /** Returns an integer in the range [0, `bound`). */
  abstract drawInt(bound: number): number;
}

/** Pseudo-random number generator that is initialised with a seed. */
export class SeededRandom extends Random {
  readonly #generator: RandomGenerator;

  constructor(seed: number) {
    super();
    this.#generator = xoroshiro128plus(seed);
  }

  override drawFloat(): number {
    return uniformFloat64(this.#generator);
  }

  override drawInt(bound: number): number {
    return uniformInt(this.#generator, 0, bound - 1);
  }
}
