import { match } from "ts-pattern";
import {
  Cause,
  makeMayHaveRun,
  makeNotRun,
  type Outcome,
} from "../../base/mod.ts";
import {
  type KeyBegin,
  type KeyStanding,
  KeyStandingKind,
} from "../../idempotency/mod.ts";
import { SHORT_RETRY_MS } from "../constants.ts";
import { Filter } from "../filter.ts";
import type { RequestContext } from "../types.ts";

/** Answers a repeated request from what its key's home remembers. */
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
    let standing: KeyStanding;
    try {
      standing = await this.host.beginKey(begin);
    } catch {
      return makeUnknownHistory("the home of the key cannot be reached");
    }
    if (standing.kind === KeyStandingKind.New) {
      context.finishKey = (outcome) => this.host.finishKey(begin, outcome);
      return undefined;
    }
    return describeStanding(standing);
  }
}

function describeStanding(standing: KeyStanding): Outcome | undefined {
  return match(standing.kind)
    .with(KeyStandingKind.New, () => undefined)
    .with(KeyStandingKind.Finished, () => standing.outcome)
    .with(KeyStandingKind.InProgress, () => {
      const detail = "a request with this key is still in progress";
      const retryAfterMs = SHORT_RETRY_MS;
      return makeMayHaveRun(Cause.DuplicateInProgress, detail, {
        retryAfterMs,
      });
    })
    .with(KeyStandingKind.Reused, () =>
      makeNotRun(
        Cause.KeyReused,
        "the key came earlier with another request",
      ))
    .with(
      KeyStandingKind.Unknown,
      () =>
        makeUnknownHistory("the home of the key has not known it long enough"),
    )
    .exhaustive();
}

/** Nothing ran now, but an earlier request with the key may have run. */
function makeUnknownHistory(reason: string): Outcome {
  const detail = `${reason}; this request did not run, but an earlier one ` +
    "with the same key may have";
  return makeMayHaveRun(Cause.KeyHistoryUnknown, detail, {
    retryAfterMs: SHORT_RETRY_MS,
  });
}
