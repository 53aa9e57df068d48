import test from "ava";
import {
  chooseMove,
  MIN_MOVED_REST_MS,
  MoveVerdict,
  type RunThere,
} from "./mod.ts";

const LONG_RUNNING: RunThere = {
  isRunning: true,
  hasContact: true,
  isGang: false,
  isLongRunning: true,
  isCheckpointing: false,
  hasNewCheckpoint: false,
  restMs: 0,
  areSiblingsServing: true,
  canInterrupt: true,
  hasRoomElsewhere: () => true,
};

const CHECKPOINTING: RunThere = {
  ...LONG_RUNNING,
  isLongRunning: false,
  isCheckpointing: true,
  hasNewCheckpoint: true,
  restMs: MIN_MOVED_REST_MS + 1,
};

const CASES: [string, RunThere, Partial<RunThere>, MoveVerdict][] = [
  ["a long-running task moves", LONG_RUNNING, {}, MoveVerdict.Move],
  ["a checkpointing run moves", CHECKPOINTING, {}, MoveVerdict.Move],
  ["short work ends", CHECKPOINTING, { restMs: 10_000 }, MoveVerdict.RunsToEnd],
  [
    "work without checkpoints ends",
    CHECKPOINTING,
    { isCheckpointing: false },
    MoveVerdict.RunsToEnd,
  ],
  ["a gang stays", CHECKPOINTING, { isGang: true }, MoveVerdict.Gang],
  ["a serving gang stays", LONG_RUNNING, { isGang: true }, MoveVerdict.Gang],
  [
    "an unanswered start stays",
    LONG_RUNNING,
    { isRunning: false },
    MoveVerdict.Unsettled,
  ],
  [
    "a run on a silent endpoint stays",
    CHECKPOINTING,
    { hasContact: false },
    MoveVerdict.NoContact,
  ],
  [
    "one task of a step moves at a time",
    LONG_RUNNING,
    { areSiblingsServing: false },
    MoveVerdict.AwaitsSibling,
  ],
  [
    "the disruption budget holds",
    LONG_RUNNING,
    { canInterrupt: false },
    MoveVerdict.Budget,
  ],
  [
    "a run awaits its next checkpoint",
    CHECKPOINTING,
    { hasNewCheckpoint: false },
    MoveVerdict.AwaitsCheckpoint,
  ],
  [
    "a run stays without room elsewhere",
    LONG_RUNNING,
    { hasRoomElsewhere: () => false },
    MoveVerdict.NoRoom,
  ],
];

for (const [name, run, overrides, verdict] of CASES) {
  test(name, (t) => t.is(chooseMove({ ...run, ...overrides }), verdict));
}
