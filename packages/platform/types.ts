import type { Size } from "../base/mod.ts";

/** A key of the store with its value. */
export interface StoreRecord {
  key: string;
  value: string;
  /** Revision of the last write to this key. */
  modRevision: number;
}

/** Selects the keys that begin with `prefix`. */
export interface KeyRange {
  prefix: string;
  /** Selects only records written at this revision or later. */
  minModRevision?: number;
}

/** Records read at the same revision, one list for each range. */
export interface StoreSnapshot {
  revision: number;
  ranges: StoreRecord[][];
}

/** A write that takes effect only if no compared key has changed. */
export interface StoreCommit {
  /** Expected revisions; 0 means that the key must not exist. */
  compares: { key: string; modRevision: number }[];
  puts: { key: string; value: string }[];
}

/** Whether a commit took effect, and the revision of the store. */
export interface CommitResult {
  succeeded: boolean;
  revision: number;
}

/** Role of a VM: it runs an entry or an endpoint. */
export enum VmRole {
  Entry = "entry",
  Endpoint = "endpoint",
}

/** State of a VM in the platform's list. */
export enum VmState {
  Live = "live",
  Leaving = "leaving",
}

/** A VM in the platform's list. */
export interface Vm {
  id: string;
  role: VmRole;
  domain: string;
  rack: string;
  state: VmState;
  /** IP address and port; used for endpoints only. */
  address: string;
  size: Size;
  /** Maximum number of tasks that run at the same time. */
  slots: number;
  /** Maximum number of connections; each running task takes one. */
  connections: number;
}

/** Changes of the VM list since a revision, or the whole list. */
export interface VmListing {
  revision: number;
  /** VMs that are new or changed since the requested revision. */
  changed: Vm[];
  /** Ids of the VMs removed since the requested revision. */
  removed: string[];
  /** True when `changed` is the whole list. */
  complete: boolean;
}
