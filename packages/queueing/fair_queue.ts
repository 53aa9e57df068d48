import TinyQueue from "tinyqueue";
import type { GetTeamLoad, QueueEntry } from "./types.ts";

/**
 * Queue of waiting attempts. Urgent attempts go first, then those of the team
 * with the lowest load per share; within a team, the earliest deadline first.
 */
export class FairQueue<T extends QueueEntry> {
  readonly #heaps = new Map<string, TinyQueue<T>>();
  readonly #waiting = new Map<string, T>();
  readonly #queueCounts = new Map<string, number>();
  readonly #teamCounts = new Map<string, number>();

  /** Number of waiting attempts. */
  get size(): number {
    return this.#waiting.size;
  }

  /** Returns the number of waiting attempts of a queue. */
  countInQueue(queue: string): number {
    return this.#queueCounts.get(queue) ?? 0;
  }

  /** Returns the number of waiting attempts of a team. */
  countForTeam(team: string): number {
    return this.#teamCounts.get(team) ?? 0;
  }

  /** Lists the teams with waiting attempts. */
  listTeams(): string[] {
    return [...this.#teamCounts.keys()];
  }

  /** Returns a waiting attempt by id. */
  get(id: string): T | undefined {
    return this.#waiting.get(id);
  }

  /** Lists the waiting attempts. */
  list(): IterableIterator<T> {
    return this.#waiting.values();
  }

  /** Adds an attempt to the heap of its team. */
  add(entry: T): void {
    this.#waiting.set(entry.id, entry);
    addCount(this.#queueCounts, entry.queue, { delta: 1 });
    addCount(this.#teamCounts, entry.team, { delta: 1 });
    let heap = this.#heaps.get(entry.team);
    if (!heap) {
      heap = new TinyQueue<T>([], compareEntries);
      this.#heaps.set(entry.team, heap);
    }
    heap.push(entry);
  }

  /**
   * Removes an attempt in constant time: its heap entry stays until it reaches
   * the head.
   */
  remove(id: string): T | undefined {
    const entry = this.#waiting.get(id);
    if (!entry) return undefined;
    this.#waiting.delete(id);
    addCount(this.#queueCounts, entry.queue, { delta: -1 });
    addCount(this.#teamCounts, entry.team, { delta: -1 });
    return entry;
  }

  /** Returns the next attempt of the teams that are not blocked. */
  peek(getTeamLoad: GetTeamLoad, blocked: ReadonlySet<string>): T | undefined {
    let best: T | undefined;
    let bestLoad = Infinity;
    for (const [team, heap] of this.#heaps) {
      if (blocked.has(team)) continue;
      const head = this.#peekTeam(team, heap);
      if (!head) continue;
      const load = getTeamLoad(team);
      if (!isBefore({ head, load }, { head: best, load: bestLoad })) continue;
      best = head;
      bestLoad = load;
    }
    return best;
  }

  /** Returns a team's next attempt; drops removed ones from the heap's head. */
  #peekTeam(team: string, heap: TinyQueue<T>): T | undefined {
    for (;;) {
      const head = heap.peek();
      if (!head) {
        this.#heaps.delete(team);
        return undefined;
      }
      if (this.#waiting.get(head.id) === head) return head;
      heap.pop();
    }
  }
}

/** Next attempt of a team, and the team's load per share. */
interface Candidate<T> {
  head: T;
  load: number;
}

function isBefore<T extends QueueEntry>(
  a: Candidate<T>,
  b: Candidate<T | undefined>,
): boolean {
  if (!b.head) return true;
  if (a.head.urgent !== b.head.urgent) return a.head.urgent;
  if (a.load !== b.load) return a.load < b.load;
  return a.head.sequence < b.head.sequence;
}

function compareEntries(a: QueueEntry, b: QueueEntry): number {
  if (a.urgent !== b.urgent) return a.urgent ? -1 : 1;
  return a.deadline - b.deadline || a.sequence - b.sequence;
}

function addCount(
  counts: Map<string, number>,
  name: string,
  options: { delta: number },
): void {
  const updated = (counts.get(name) ?? 0) + options.delta;
  if (updated === 0) counts.delete(name);
  else counts.set(name, updated);
}
