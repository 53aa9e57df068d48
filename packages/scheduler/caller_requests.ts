import { match } from "ts-pattern";
import { Admission } from "../cell/mod.ts";
import type { JobSpec } from "../jobs/mod.ts";
import type { SubmitReply } from "../links/mod.ts";
import { ANSWER_MARGIN_MS, DEFAULT_DEADLINE_MS } from "./constants.ts";
import { ReplyKind } from "./owner_calls.ts";
import type { CallerRequest, QueueRoute } from "./types.ts";

/** Computes how long an entry may take for a request, in milliseconds. */
export function computeTimeout({ deadlineMs }: CallerRequest): number {
  const totalMs = deadlineMs > 0 ? deadlineMs : DEFAULT_DEADLINE_MS;
  const remainingMs = Math.max(ANSWER_MARGIN_MS, totalMs - ANSWER_MARGIN_MS);
  return remainingMs;
}

/** Formats what identifies a submission to this entry. */
export function formatRequestKey({ host, path }: CallerRequest): string {
  return `${host}${path}`;
}

/** Classifies what the owner replied to a submission. */
export function classifySubmitReply(reply: SubmitReply): ReplyKind {
  if (reply.isUnknown) return ReplyKind.Unknown;
  return match(reply.admission)
    .with(Admission.Accepted, Admission.Known, () => ReplyKind.Final)
    .with(Admission.NotOwner, () => ReplyKind.NotOwner)
    .with(
      Admission.Refused,
      Admission.IdTaken,
      Admission.StoreStalled,
      () => ReplyKind.Refused,
    )
    .exhaustive();
}

/** Selects the rules of a queue that a job is stored with. */
export function selectQueueRules(queue: QueueRoute): JobSpec["queue"] {
  const { host: _host, prefix: _prefix, isOpen: _isOpen, ...rules } = queue;
  return rules;
}
