import { randomInt } from "node:crypto";
import { v7 as makeUuid } from "uuid";
import { SeededRandom, SystemClock } from "../base/mod.ts";
import { HttpEndpointClient } from "../endpoints/mod.ts";
import { SampledPlacement } from "../engine/mod.ts";
import { PinoEventLog } from "../events/mod.ts";
import { Metrics } from "../metrics/mod.ts";
import { RpcPeerClient } from "../peers/mod.ts";
import { EtcdStore, HttpVmList } from "../platform/mod.ts";
import type { Settings } from "../settings/mod.ts";
import { EntryNode } from "./entry_node.ts";

const SEED_BOUND = 2 ** 31;

/** Builds an entry from its settings: the one place that names adapters. */
export function buildEntryNode(settings: Settings): EntryNode {
  const { platform, vm, log, listen } = settings;
  const localAddress = listen.peers.host;
  const timeoutMs = platform.timeout_ms;
  const random = new SeededRandom(randomInt(SEED_BOUND));
  return new EntryNode({
    settings,
    clock: new SystemClock(),
    random,
    store: new EtcdStore({ url: platform.store, timeoutMs, localAddress }),
    vmList: new HttpVmList({
      url: platform.vm_list,
      domain: vm.domain,
      timeoutMs,
      localAddress,
    }),
    endpoints: new HttpEndpointClient({ localAddress }),
    peers: new RpcPeerClient({ token: settings.peers.token, localAddress }),
    placement: new SampledPlacement(random),
    log: new PinoEventLog(log.level, { vm: vm.id, domain: vm.domain }),
    metrics: new Metrics(),
    makeId: makeUuid,
  });
}
