import type { Clock, Random } from "../base/mod.ts";
import type { ControlState } from "../control/mod.ts";
import type { EndpointClient } from "../endpoints/mod.ts";
import type { PlacementPolicy } from "../engine/mod.ts";
import type { EventLog } from "../events/mod.ts";
import type { Metrics } from "../metrics/mod.ts";
import type { PeerClient } from "../peers/mod.ts";
import type { Store, VmList } from "../platform/mod.ts";
import type { Router } from "../routing/mod.ts";
import type { Settings } from "../settings/mod.ts";
import type { ConfigService } from "./config_service.ts";
import type { ControlLoop } from "./control_loop.ts";
import type { EndpointPoller } from "./endpoint_poller.ts";
import type { EngineDriver } from "./engine_driver.ts";
import type { Heartbeats } from "./heartbeats.ts";
import type { KeyService } from "./key_service.ts";
import type { PauseGuard } from "./pause_guard.ts";
import type { PeerTable } from "./peer_table.ts";

/** The services that make up an entry. */
export interface EntryServices {
  control: ControlState;
  config: ConfigService;
  driver: EngineDriver;
  peers: PeerTable;
  heartbeats: Heartbeats;
  keyService: KeyService;
  controlLoop: ControlLoop;
  pause: PauseGuard;
  router: Router;
  poller: EndpointPoller;
}

/** Settings and adapters that an entry depends on. */
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
  /** Makes a unique id. */
  makeId: () => string;
}
