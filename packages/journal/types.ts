import type { EndKind, JobSpec } from "../jobs/mod.ts";

/** Kinds of journal records. */
export enum RecordKind {
  Accepted = "accepted",
  Ended = "ended",
  Cancelled = "cancelled",
  /** Tasks may be started on an endpoint from now on. */
  EndpointUsed = "endpoint_used",
  /** Tasks are about to be started on an endpoint. */
  Placed = "placed",
  /** An endpoint is gone and runs nothing. */
  EndpointDropped = "endpoint_dropped",
}

/** One fact that must outlast every process. Times: Unix milliseconds. */
export type JournalRecord =
  | { kind: RecordKind.Accepted; job: JobSpec; at: number }
  | {
    kind: RecordKind.Ended;
    task: string;
    run: number;
    end: EndKind;
    saved: string;
    at: number;
  }
  | { kind: RecordKind.Cancelled; job: string; at: number }
  | {
    kind: RecordKind.EndpointUsed;
    endpoint: string;
    address: string;
    service: string;
  }
  | { kind: RecordKind.EndpointDropped; endpoint: string }
  | {
    kind: RecordKind.Placed;
    endpoint: string;
    /** Names of tasks with the numbers of their runs. */
    runs: [string, number][];
  };

/** Which owner writes: the journal accepts nothing from any other. */
export interface OwnerClaim {
  key: string;
  revision: number;
}

/** What a new owner reads. `Snapshot` is what the owner's state exports. */
export interface JournalContents<Snapshot> {
  snapshot?: Snapshot;
  records: JournalRecord[];
  /** Number of the last segment; the next commit takes the one after. */
  lastSegment: number;
  /** Number of the last segment that the snapshot covers; 0: none. */
  snapshotSegment: number;
  /** Keys that the snapshot makes needless. */
  obsolete: string[];
}
