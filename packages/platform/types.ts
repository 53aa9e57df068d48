import type { Size } from "../base/mod.ts";

/** One value of the store. */
export interface StoreRecord {
  key: string;
  value: string;
  /** Revision of the last write to this key. */
  modRevision: number;
}

/** Keys to read: all that begin with `prefix`. */
export interface KeyRange {
  prefix: string;
  /** Only records written at this revision or later. */
  minModRevision?: number;
}

/** Records read at one revision, a list for each range. */
export interface StoreSnapshot {
  revision: number;
  ranges: StoreRecord[][];
}

/** A write that takes effect only if no compared key has changed. */
export interface StoreCommit {
  /** Expected revisions; 0 expects that the key does not exist. */
  compares: { key: string; modRevision: number }[];
  puts: { key: string; value: string }[];
}

/** Whether a commit took effect. */
export interface CommitResult {
  succeeded: boolean;
  revision: number;
}

/** What a VM is for. */
export enum VmRole {
  Entry = "entry",
  Endpoint = "endpoint",
}

/** State of a VM in the platform's list. */
export enum VmState {
  Live = "live",
  Leaving = "leaving",
}

/** One VM of the platform's list. */
export interface Vm {
  id: string;
  role: VmRole;
  domain: string;
  rack: string;
  state: VmState;
  /** IP address and port of an endpoint. */
  address: string;
  size: Size;
  slots: number;
  connections: number;
}

/** One answer of the VM list. */
export interface VmListing {
  revision: number;
  /** VMs that are new or changed since the revision asked for. */
  changed: Vm[];
  /** Ids that left since then. */
  removed: string[];
  /** True when `changed` is the whole list. */
  complete: boolean;
}
