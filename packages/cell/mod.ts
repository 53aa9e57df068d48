/** Decision logic of a cell's owner, without I/O: jobs, endpoints, runs. */
export * from "./cell.ts";
export * from "./constants.ts";
export * from "./evacuated_domains.ts";
export { describePlacement } from "./describe_placement.ts";
export { makeEndpoint } from "./endpoints.ts";
export {
  canEndPause,
  getFence,
  isSuperseded,
  noteAckUnanswered,
  noteFenceUnanswered,
  OwnerFence,
  raiseFence,
} from "./fences.ts";
export { DEFAULT_HELD_TASKS } from "./held_tasks.ts";
export { hasHiddenEnds } from "./listing_proof.ts";
export { describeLeaving } from "./leaving.ts";
export { describeTrials } from "./trials.ts";
export {
  beginLeaseOrder,
  chooseStartLease,
  findLeaseEnd,
  LeaseOutcome,
  noteLeaseGranted,
  settleLeaseOrder,
} from "./leases.ts";
export { hasStartInDoubt, noteStartSent } from "./order_effects.ts";
export type { CellOutput } from "./state.ts";
export type { CurrentTime } from "./task_ends.ts";
export * from "./policies.ts";
export { describeAdmission } from "./room_admission.ts";
export * from "./snapshot.ts";
export { StopReason } from "./stop_run.ts";
export * from "./types.ts";
export { WaitMonitor, WaitReason, type WaitReport } from "./wait_reasons.ts";
