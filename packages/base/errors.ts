/** Base of every error that this project throws on purpose. */
export class BaobabheadError extends Error {
  override name = this.constructor.name;
}

/** A broken invariant: the program must not go on with this decision. */
export class InvariantError extends BaobabheadError {}

/** A message or document that does not have the agreed form. */
export class FormatError extends BaobabheadError {}

/** A call that certainly had no effect on the other side. */
export class NotSentError extends BaobabheadError {}

/** A call whose effect on the other side is unknown. */
export class UnknownEffectError extends BaobabheadError {}

/**
 * Throws when an invariant does not hold.
 *
 * @throws {InvariantError} when `holds` is false
 */
export function assertInvariant(holds: boolean, message: string): void {
  if (!holds) throw new InvariantError(message);
}

/** The store has dropped the history that a watch asked for. */
export class HistoryGoneError extends BaobabheadError {}

/** The other side answered that it did nothing, such as status 429 or 503. */
export class RefusedError extends NotSentError {}
