/**
 * Shortest predicted remaining time of a checkpointing run that is moved, in
 * milliseconds. A move costs a stop (up to 0.9 s), a start from the checkpoint (up to
 * 0.6 s) and the wait for room.
 */
export const MIN_MOVED_REST_MS = 10_000;

/** Whether a run in an evacuated domain is moved, or why it is not. */
export enum MoveVerdict {
  Move = "move",
  /** Its order is unanswered, or it is being stopped already. */
  Unsettled = "unsettled",
  /** It runs to its end: short, or it would lose its work. */
  RunsToEnd = "runs_to_end",
  /** Gangs are not broken. */
  Gang = "gang",
  /** The endpoint does not answer: a stop would not reach it. */
  NoContact = "no_contact",
  /** Waits for the next checkpoint, so that a move loses no work. */
  AwaitsCheckpoint = "awaits_checkpoint",
  /** Another task of the step is being moved or has not started up. */
  AwaitsSibling = "awaits_sibling",
  /** The disruption budget of the step is used up. */
  Budget = "budget",
  /** No endpoint of another domain has room now. */
  NoRoom = "no_room",
}

/** A run in an evacuated domain. */
export interface RunThere {
  isRunning: boolean;
  hasContact: boolean;
  isGang: boolean;
  isLongRunning: boolean;
  isCheckpointing: boolean;
  /** A checkpoint was listed for the first time since the last decision. */
  hasNewCheckpoint: boolean;
  /** Predicted remaining time, in milliseconds. */
  restMs: number;
  /** All other tasks of a long-running step have started up. */
  areSiblingsServing: boolean;
  /** The disruption budget of the step permits to interrupt the task. */
  canInterrupt: boolean;
  /** Returns whether an endpoint of another domain has room for the task. */
  hasRoomElsewhere: () => boolean;
}

/**
 * Decides whether a run in an evacuated domain is moved. Load: an operator needs the
 * domain's VMs while long-running and long checkpointing work holds them; short work
 * ends sooner by itself than it would after a restart elsewhere.
 */
export function chooseMove(run: RunThere): MoveVerdict {
  if (run.isGang) return MoveVerdict.Gang;
  if (!run.isLongRunning) {
    const isWorthMoving = run.isCheckpointing &&
      run.restMs > MIN_MOVED_REST_MS;
    if (!isWorthMoving) return MoveVerdict.RunsToEnd;
  }
  if (!run.isRunning) return MoveVerdict.Unsettled;
  if (!run.hasContact) return MoveVerdict.NoContact;
  if (run.isLongRunning) {
    if (!run.areSiblingsServing) return MoveVerdict.AwaitsSibling;
    if (!run.canInterrupt) return MoveVerdict.Budget;
  } else if (!run.hasNewCheckpoint) return MoveVerdict.AwaitsCheckpoint;
  return run.hasRoomElsewhere() ? MoveVerdict.Move : MoveVerdict.NoRoom;
}
