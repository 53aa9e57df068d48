import type { WorkKind } from "../base/mod.ts";

/** A team's share and limit. */
export interface TeamConfig {
  /** Weight of the team when all is full; relative to the other teams. */
  share: number;
  /** Most tasks that the team may run across the whole fleet. */
  limit: number;
}

/** A caller's key: only the hash of its secret is kept. */
export interface KeyConfig {
  team: string;
  /** SHA-256 of the secret, lowercase hexadecimal. */
  hash: string;
}

/** A queue that takes work. */
export interface QueueConfig {
  /** Teams that may use the queue; empty for an open queue. */
  teams: string[];
  /** Open to callers without a key; the work then belongs to `open_team`. */
  open: boolean;
  open_team: string;
  kinds: WorkKind[];
  urgent: boolean;
  /** Most attempts waiting on one entry. */
  max_queued: number;
  /** Largest request body in bytes. */
  max_body_bytes: number;
}

/** One whole configuration. */
export interface Configuration {
  teams: Record<string, TeamConfig>;
  keys: Record<string, KeyConfig>;
  queues: Record<string, QueueConfig>;
}

/** One fault found in a file, with its place and what is allowed. */
export interface ConfigIssue {
  file: string;
  line: number;
  key: string;
  message: string;
}

/** Items of a configuration by id, for example `team.norte`, as JSON text. */
export type ConfigItems = Record<string, string>;

/** The items of a page from one version on. */
export interface PageVersion {
  version: number;
  items: ConfigItems;
}

/** A page of items as the platform's store keeps it. */
export interface ConfigPage {
  /** The accepted contents and all later ones, in ascending order. */
  versions: PageVersion[];
}

/** The record that orders configurations. */
export interface ConfigHead {
  /** Newest version, staged or accepted. */
  version: number;
  /** Newest version that every entry has confirmed. */
  accepted: number;
  author: string;
  /** Unique id of the write, so that a lost answer can be settled. */
  writer: string;
  /** Milliseconds since the Unix epoch. */
  at: number;
}

/** The kinds of change between two configurations. */
export enum ChangeKind {
  Added = "added",
  Changed = "changed",
  Removed = "removed",
}

/** One line of a plan. */
export interface ConfigChange {
  kind: ChangeKind;
  item: string;
  before?: string;
  after?: string;
}
