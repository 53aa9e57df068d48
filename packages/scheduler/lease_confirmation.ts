import type { CurrentTime } from "../cell/mod.ts";
import { measureElapsed, SuspensionGuard } from "./suspension_guard.ts";

/**
 * Holds when the store last confirmed the owner's lease. Its age bounds for how
 * long orders may be sent, also across suspensions of the VM.
 */
export class LeaseConfirmation {
  readonly #suspensionGuard = new SuspensionGuard();
  #sentAt: CurrentTime;
  /** Steady time at which the last suspension was noticed, in ms. */
  #suspensionNoticedAt = Number.NEGATIVE_INFINITY;
  /** Called when a suspension of the VM is noticed. */
  onSuspended: () => void = () => {};

  /** `sentAt`: when the claim of the lease was sent. */
  constructor(sentAt: CurrentTime) {
    this.#sentAt = sentAt;
    this.#suspensionGuard.checkSuspension(sentAt);
  }

  /** Notes that the store confirmed a renewal that was sent at `sentAt`. */
  noteRenewal(sentAt: CurrentTime): void {
    this.#sentAt = sentAt;
  }

  /**
   * Measures the time since the last confirmed renewal was sent, in
   * milliseconds; infinite if it was sent before a suspension was noticed: the
   * lease may have expired meanwhile.
   */
  measureAge(time: CurrentTime): number {
    if (this.#suspensionGuard.checkSuspension(time)) {
      this.#suspensionNoticedAt = time.now;
      this.onSuspended();
    }
    return this.#sentAt.now <= this.#suspensionNoticedAt
      ? Number.POSITIVE_INFINITY
      : measureElapsed(this.#sentAt, time);
  }
}
