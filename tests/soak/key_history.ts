/** Since when a key is in force or withdrawn; Unix milliseconds. */
export interface KeyState {
  at: number;
  isValid: boolean;
}

/** The API keys of all configurations over time. */
export class KeyHistory {
  readonly #keys = new Map<string, KeyState>();

  /** Notes the keys of a configuration that was acknowledged. */
  addConfig({ at, keys }: { at: number; keys: string[] }): void {
    for (const [key, state] of this.#keys) {
      if (state.isValid && !keys.includes(key)) {
        this.#keys.set(key, { at, isValid: false });
      }
    }
    for (const key of keys) {
      if (!this.#keys.get(key)?.isValid) {
        this.#keys.set(key, { at, isValid: true });
      }
    }
  }

  /** Returns the state of a key; `undefined` if no configuration had it. */
  getState(key: string): KeyState | undefined {
    return this.#keys.get(key);
  }
}
