import type { Clock, Random } from "../base/mod.ts";
import type { EndpointClient } from "../endpoints/mod.ts";
import type { PlacementPolicy } from "../engine/mod.ts";
import type { EventLog } from "../events/mod.ts";
import type { Metrics } from "../metrics/mod.ts";
import type { PeerClient } from "../peers/mod.ts";
import type { Store, VmList } from "../platform/mod.ts";
import type { Settings } from "../settings/mod.ts";

/** Everything outside of an entry's decisions. */
export interface EntryParts {
  settings: Settings;
  clock: Clock;
  random: Random;
  store: Store;
  vmList: VmList;
  endpoints: EndpointClient;
  peers: PeerClient;
  placement: PlacementPolicy;
  log: EventLog;
  metrics: Metrics;
  /** Makes an id that is unique for ever. */
  makeId: () => string;
}
