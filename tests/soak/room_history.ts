import { CONTACT_MS, HEARTBEAT_MS, MAX_LATE_MS } from "./constants.ts";
import type { SoakRoom } from "./types.ts";

/** Resources of an endpoint or of its runs. */
export interface Room {
  milliCores: number;
  memoryMb: number;
}

/** The capacities of all endpoints over time. */
export class RoomHistory {
  readonly #rooms = new Map<string, SoakRoom[]>();

  addRoom(room: SoakRoom): void {
    const rooms = this.#rooms.get(room.endpoint) ?? [];
    this.#rooms.set(room.endpoint, [...rooms, room]);
  }

  /** Sums the latest capacities of all endpoints, in thousandths of a core. */
  sumMilliCores(): number {
    return [...this.#rooms.values()].reduce(
      (sum, rooms) => sum + rooms[rooms.length - 1].milliCores,
      0,
    );
  }

  /**
   * Returns whether runs fit an endpoint at a start. A room that has shrunk
   * counts `CONTACT_MS` and one heartbeat later; for a start that was carried out
   * late, later by the longest lateness.
   */
  fits(
    used: Room,
    { endpoint, at, isLate }: { endpoint: string; at: number; isLate: boolean },
  ): boolean {
    const lagMs = CONTACT_MS + HEARTBEAT_MS + (isLate ? MAX_LATE_MS : 0);
    const rooms = (this.#rooms.get(endpoint) ?? []).filter((room) =>
      room.at <= at
    );
    const inForce = rooms.filter((_, index) =>
      index === rooms.length - 1 || rooms[index + 1].at > at - lagMs
    );
    const getMost = (pick: (room: Room) => number) =>
      Math.max(0, ...inForce.map(pick));
    return used.milliCores <= getMost(({ milliCores }) => milliCores) &&
      used.memoryMb <= getMost(({ memoryMb }) => memoryMb);
  }
}
