import { type Clock, MonotonicClock, SeededRandom } from "../base/mod.ts";
import { LogTarget, PinoEventLog, RateLimitedEventLog } from "../events/mod.ts";
import { Metrics } from "../metrics/mod.ts";
import type { SchedulerSettings } from "../settings/mod.ts";
import { type KeyValueStore, MeteredStore } from "../storage/mod.ts";
import type {
  AdviceService,
  EndpointControl,
  EndpointVms,
  SiteRecords,
} from "./ports.ts";
import { SchedulerNode } from "./scheduler_node.ts";

/** The adapters through which a platform is reached. */
export interface PlatformAdapters {
  store: KeyValueStore;
  records: SiteRecords;
  control: EndpointControl;
  advice: AdviceService;
  /** VM service of the platform; absent if it offers no upkeep of VMs. */
  vms?: EndpointVms;
}

/** Builds an entry from its settings and the adapters of a platform. */
export function buildSchedulerNode(
  settings: SchedulerSettings,
  adapters: PlatformAdapters,
  options: { seed: number },
): SchedulerNode {
  const clock: Clock = new MonotonicClock();
  const target = { target: LogTarget.Stdout, isAsync: true };
  const baseFields = { entry: settings.vm.name };
  const log = new PinoEventLog(settings.log.level, baseFields, target);
  const random = new SeededRandom(options.seed);
  const metrics = new Metrics();
  const store = new MeteredStore(adapters.store, {
    metrics,
    now: () => clock.now(),
  });
  return new SchedulerNode({
    ...adapters,
    store,
    getStoreFailedAt: () => store.failedAt,
    settings,
    clock,
    random,
    log: new RateLimitedEventLog(log, clock),
    metrics,
    incarnation: `${settings.vm.name}/${options.seed.toString(36)}`,
  });
}
