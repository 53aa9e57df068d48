import { Buffer } from "node:buffer";
import { MAX_CHECKPOINT_BYTES } from "./constants.ts";
import { addDecision, type CellState } from "./state.ts";
import { DecisionKind, type Endpoint } from "./types.ts";

/** Returns whether a listed checkpoint can be stored. */
export function canStoreCheckpoint(saved: string): boolean {
  return Buffer.byteLength(saved) <= MAX_CHECKPOINT_BYTES;
}

/** Notes that an endpoint lists a checkpoint that cannot be stored. */
export function noteCheckpointIgnored(
  state: CellState,
  endpoint: Endpoint,
  listed: { task: string; run: number; saved: string },
): void {
  addDecision(state, {
    kind: DecisionKind.CheckpointIgnored,
    subject: listed.task,
    inputs: {
      run: listed.run,
      endpoint: endpoint.info.id,
      bytes: Buffer.byteLength(listed.saved),
      maxBytes: MAX_CHECKPOINT_BYTES,
    },
  });
}
