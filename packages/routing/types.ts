import type { Size } from "../base/mod.ts";
import type { OwnerLoad } from "../peers/mod.ts";

/** An entry that may own endpoints for a task. */
export interface OwnerCandidate {
  incarnation: string;
  domain: string;
  /** Address for the other entries, as `ip:port`. */
  address: string;
  isSelf: boolean;
  draining: boolean;
  load: OwnerLoad;
}

/** What an owner is looked for. */
export interface OwnerRequest {
  team: string;
  size: Size;
  /** Incarnations that have refused already. */
  excluded: ReadonlySet<string>;
}
