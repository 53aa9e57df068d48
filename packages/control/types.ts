import type { LimitsPlan } from "../limits/mod.ts";
import type { MembershipPlan } from "../membership/mod.ts";

/** Which records a commit changes. */
export enum CommitPurpose {
  Membership = "membership",
  Limits = "limits",
}

/** A commit to be sent, with the plan that it writes. */
export type PlannedCommit =
  | { purpose: CommitPurpose.Membership; plan: MembershipPlan }
  | { purpose: CommitPurpose.Limits; plan: LimitsPlan; bucket: number };

/** Whether a commit took effect. */
export enum CommitStatus {
  Succeeded = "succeeded",
  /** A compared key had changed, so the commit has no effect. */
  Conflicted = "conflicted",
  /** The store was not reached, so the commit has no effect. */
  NotSent = "not_sent",
  /** The answer was lost; the commit may take effect now or later. */
  Unknown = "unknown",
}

/** Changes that a snapshot of the store contains. */
export interface Observation {
  membershipChanged: boolean;
  grantsChanged: boolean;
  /** True when the snapshot is older than the one observed before it. */
  reverted: boolean;
}
