import type { Size } from "../base/mod.ts";
import type { OwnerLoad } from "../peers/mod.ts";

/** An entry that may own endpoints, with its last known load. */
export interface OwnerCandidate {
  incarnation: string;
  domain: string;
  /** Address for peers, as `ip:port`. */
  address: string;
  isSelf: boolean;
  draining: boolean;
  load: OwnerLoad;
}

/** Requirements that an owner must meet to run a task. */
export interface OwnerRequest {
  team: string;
  size: Size;
  /** Incarnations that have already refused the task. */
  excluded: ReadonlySet<string>;
}
