import type { WorkKind } from "../base/mod.ts";

/** Share and task limit of a team. */
export interface TeamConfig {
  /** Weight relative to the other teams when capacity is contended. */
  share: number;
  /** Maximum number of tasks that the team may run across the whole fleet. */
  limit: number;
}

/** A caller's key; only the hash of its secret is stored. */
export interface KeyConfig {
  team: string;
  /** SHA-256 of the secret, lowercase hexadecimal. */
  hash: string;
}

/** Access rules and limits of a queue. */
export interface QueueConfig {
  /** Teams that may use the queue; not used for an open queue. */
  teams: string[];
  /** Whether callers need no key; their work belongs to `open_team`. */
  open: boolean;
  open_team: string;
  kinds: WorkKind[];
  /** Whether the queue's work is started before work that is not urgent. */
  urgent: boolean;
  /** Maximum number of attempts waiting on one entry. */
  max_queued: number;
  /** Maximum size of a request body, in bytes. */
  max_body_bytes: number;
}

/** A complete configuration; each record is keyed by name. */
export interface Configuration {
  teams: Record<string, TeamConfig>;
  keys: Record<string, KeyConfig>;
  queues: Record<string, QueueConfig>;
}

/** An issue found in a file, with its location. */
export interface ConfigIssue {
  file: string;
  /** Line number, from 1. */
  line: number;
  /** Dotted path of the section or key, or empty. */
  key: string;
  message: string;
}

/** Items of a configuration as JSON text, by id, for example `teams.norte`. */
export type ConfigItems = Record<string, string>;

/** Items of a page, valid from `version` until the page's next version. */
export interface PageVersion {
  version: number;
  items: ConfigItems;
}

/** A page of items as it is stored in the platform's store. */
export interface ConfigPage {
  /** The accepted version and all later ones, in ascending order. */
  versions: PageVersion[];
}

/** Stored record of the newest version and the newest accepted version. */
export interface ConfigHead {
  /** Newest version, staged or accepted. */
  version: number;
  /** Newest accepted version; every entry confirmed it before. */
  accepted: number;
  author: string;
  /**
   * Unique id of the write. If the answer to the write is lost, a read compares
   * this id to tell whether the write took effect.
   */
  writer: string;
  /** Time of the write, in milliseconds since the Unix epoch. */
  at: number;
}

/** Kinds of change between two configurations. */
export enum ChangeKind {
  Added = "added",
  Changed = "changed",
  Removed = "removed",
}

/** One change of an item between two configurations. */
export interface ConfigChange {
  kind: ChangeKind;
  item: string;
  before?: string;
  after?: string;
}
