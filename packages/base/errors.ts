/** Base class of the errors that this project defines. */
export class BaobabheadError extends Error {
  override name = this.constructor.name;
}

/** An invariant was violated; the current decision must be abandoned. */
export class InvariantError extends BaobabheadError {}

/** A message or document does not have the expected format. */
export class FormatError extends BaobabheadError {}

/** A call failed and certainly had no effect on the receiver. */
export class NotSentError extends BaobabheadError {}

/** A call failed, and whether it took effect on the receiver is unknown. */
export class UnknownEffectError extends BaobabheadError {}

/**
 * Throws when an invariant does not hold.
 *
 * @throws {InvariantError} when `condition` is false
 */
export function assertInvariant(condition: boolean, message: string): void {
  if (!condition) throw new InvariantError(message);
}

/** The store no longer has the revisions that a watch requested. */
export class HistoryGoneError extends BaobabheadError {}

/** The receiver refused the call without effect (e.g. status 429 or 503). */
export class RefusedError extends NotSentError {}
