import { match } from "ts-pattern";
import {
  Cause,
  makeMayHaveRunOutcome,
  makeNotRunOutcome,
  type Outcome,
} from "../../base/mod.ts";
import {
  type KeyBegin,
  type KeyState,
  KeyStateKind,
} from "../../idempotency/mod.ts";
import { SHORT_RETRY_MS } from "../constants.ts";
import { Filter } from "../filter.ts";
import type { RequestContext } from "../types.ts";

/**
 * Registers the request's idempotency key at its home, and answers a repeated
 * request from the outcome that the home recorded.
 */
export class DeduplicateFilter extends Filter {
  override readonly name = "deduplicate";

  override async apply(context: RequestContext): Promise<Outcome | undefined> {
    const work = context.work!;
    if (work.idempotencyKey === undefined) return undefined;
    const begin: KeyBegin = {
      key: work.idempotencyKey,
      token: work.id,
      team: work.team,
      fingerprint: work.fingerprint,
    };
    let keyState: KeyState;
    try {
      keyState = await this.host.beginKey(begin);
    } catch {
      return makeUnknownHistoryOutcome(
        "the home of the idempotency key cannot be reached",
      );
    }
    if (keyState.kind === KeyStateKind.New) {
      context.finishKey = (outcome) => this.host.finishKey(begin, outcome);
      return undefined;
    }
    return makeKeyStateOutcome(keyState);
  }
}

function makeKeyStateOutcome(keyState: KeyState): Outcome | undefined {
  return match(keyState.kind)
    .with(KeyStateKind.New, () => undefined)
    .with(KeyStateKind.Finished, () => keyState.outcome)
    .with(KeyStateKind.InProgress, () => {
      const detail = "a request with this key is still in progress";
      const retryAfterMs = SHORT_RETRY_MS;
      return makeMayHaveRunOutcome(Cause.DuplicateInProgress, detail, {
        retryAfterMs,
      });
    })
    .with(KeyStateKind.Reused, () =>
      makeNotRunOutcome(
        Cause.KeyReused,
        "the idempotency key was used with a different request",
      ))
    .with(
      KeyStateKind.Unknown,
      () =>
        makeUnknownHistoryOutcome(
          "the records of the idempotency key may be incomplete",
        ),
    )
    .exhaustive();
}

/** Makes the outcome of a request whose key has an unknown history. */
function makeUnknownHistoryOutcome(reason: string): Outcome {
  const detail = `${reason}; this request did not run, but an earlier one ` +
    "with the same key may have";
  return makeMayHaveRunOutcome(Cause.KeyHistoryUnknown, detail, {
    retryAfterMs: SHORT_RETRY_MS,
  });
}
