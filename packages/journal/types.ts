import type { EndKind, JobSpec } from "../jobs/mod.ts";

/** Kinds of journal records. */
export enum RecordKind {
  /** A job was accepted. */
  Accepted = "accepted",
  /** A run of a task ended. */
  Ended = "ended",
  /** A job was cancelled. */
  Cancelled = "cancelled",
  /** The owner may start runs on the endpoint once this is committed. */
  EndpointUsed = "endpoint_used",
  /** The owner starts these runs on the endpoint once this is committed. */
  Placed = "placed",
  /** The endpoint is no longer listed and has no runs. */
  EndpointDropped = "endpoint_dropped",
  /** An endpoint crashed, and these runs may be the cause. */
  Crashed = "crashed",
  /** A run showed that its task is not the cause of crashes. */
  Cleared = "cleared",
}

/** One durable state change. Times: Unix milliseconds. */
export type JournalRecord =
  | { kind: RecordKind.Accepted; job: JobSpec; at: number }
  | {
    kind: RecordKind.Ended;
    task: string;
    run: number;
    end: EndKind;
    /** Last checkpoint of the run; empty: none. */
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
    /** Lifetime of the endpoint; missing in records of earlier versions. */
    bornAt?: number;
    /** Missing in records of earlier versions. */
    at?: number;
    /** Pairs of task name and run number. */
    runs: [string, number][];
  }
  | {
    kind: RecordKind.Crashed;
    endpoint: string;
    /** Lifetime that ended. */
    bornAt: number;
    /** Service of the endpoint; this and the next two: missing in earlier versions. */
    service?: string;
    /** Last sign of life. */
    aliveAt?: number;
    /** When contact was lost. */
    lostAt?: number;
    /** Pairs of task name and run number. */
    runs: [string, number][];
    /**
     * How likely the crash was without each run, in their order; missing in records of
     * earlier versions, which read the next two fields.
     */
    chances?: number[];
    /** The evidence was complete; missing in records of earlier versions: it was. */
    isSettled?: boolean;
    /** The crash can be laid to these runs: they are one task, or one gang. */
    isAttributable: boolean;
    /** Many endpoints were lost at the same moment. */
    isWidespread: boolean;
  }
  | { kind: RecordKind.Cleared; task: string; run: number };

/**
 * Key and revision of the owner's record in the store. Every commit requires
 * this revision, so a deposed owner cannot write.
 */
export interface OwnerClaim {
  key: string;
  revision: number;
}

/** Journal as read by a new owner. `Snapshot`: the exported state's type. */
export interface JournalContents<Snapshot> {
  snapshot?: Snapshot;
  records: JournalRecord[];
  /** Number of the last segment; the next commit takes the next number. */
  lastSegment: number;
  /** Number of the last segment that the snapshot covers; 0: no snapshot. */
  snapshotSegment: number;
  /** Keys of superseded segments and snapshot parts, to be deleted. */
  obsolete: string[];
  /** Why a newer snapshot was not taken; names its key. Absent: there is none. */
  damage?: string;
}
