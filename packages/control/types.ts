import type { LimitsPlan } from "../limits/mod.ts";
import type { MembershipPlan } from "../membership/mod.ts";

/** What a commit is for. */
export enum CommitPurpose {
  Membership = "membership",
  Limits = "limits",
}

/** A commit that an entry wants to make, and what it means. */
export type PlannedCommit =
  | { purpose: CommitPurpose.Membership; plan: MembershipPlan }
  | { purpose: CommitPurpose.Limits; plan: LimitsPlan; bucket: number };

/** How a commit went. */
export enum CommitStatus {
  Succeeded = "succeeded",
  /** A compared key had changed: certainly no effect. */
  Conflicted = "conflicted",
  /** Certainly no effect: the store was not reached. */
  NotSent = "not_sent",
  /** The answer was lost: it may take effect now or later. */
  Unknown = "unknown",
}

/** What a snapshot of the store changed. */
export interface Observation {
  membershipChanged: boolean;
  grantsChanged: boolean;
  /** True when the store holds an older state than was seen before. */
  reverted: boolean;
}
