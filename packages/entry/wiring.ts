import { randomInt } from "node:crypto";
import { v7 as makeUuid } from "uuid";
import { SeededRandom, SystemClock } from "../base/mod.ts";
import { ControlState } from "../control/mod.ts";
import { HttpEndpointClient } from "../endpoints/mod.ts";
import { Engine, SampledPlacement } from "../engine/mod.ts";
import { PinoEventLog } from "../events/mod.ts";
import type { Member } from "../membership/mod.ts";
import { Metrics } from "../metrics/mod.ts";
import { RpcPeerClient } from "../peers/mod.ts";
import { EtcdStore, HttpVmList } from "../platform/mod.ts";
import { Router } from "../routing/mod.ts";
import { formatAddress, type Settings } from "../settings/mod.ts";
import { ConfigService } from "./config_service.ts";
import {
  GANG_BACKOFF_MS,
  GANG_RESERVATION_MS,
  MAX_MISSED_HEARTBEATS,
  MAX_ROUTE_TRIES,
  REMOTE_HEARTBEAT_FACTOR,
} from "./constants.ts";
import { ControlLoop } from "./control_loop.ts";
import { EndpointDirectory } from "./endpoint_directory.ts";
import { EndpointPoller } from "./endpoint_poller.ts";
import { EngineDriver } from "./engine_driver.ts";
import { EntryNode } from "./entry_node.ts";
import { EntryGateway } from "./entry_gateway.ts";
import { Heartbeats } from "./heartbeats.ts";
import { KeyService } from "./key_service.ts";
import { PauseGuard } from "./pause_guard.ts";
import { PeerTable } from "./peer_table.ts";
import type { EntryParts } from "./types.ts";

const SEED_BOUND = 2 ** 31;

/** Builds an entry with the production adapters. */
export function buildEntryNode(settings: Settings): EntryNode {
  const { platform, vm, log, listen } = settings;
  const localAddress = listen.peers.host;
  const timeoutMs = platform.timeout_ms;
  const random = new SeededRandom(randomInt(SEED_BOUND));
  return assembleEntryNode({
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

/**
 * Builds an entry from its dependencies. The services are created before the
 * node and refer to it through `getNode`.
 */
export function assembleEntryNode(parts: EntryParts): EntryNode {
  const { settings, clock, log, makeId, store, vmList } = parts;
  const { domain } = settings.vm;
  const control = new ControlState({ domain, self: createMember(parts) });
  const pause = new PauseGuard(clock.now());
  const peers = createPeerTable(settings);
  const driver = createDriver(parts, control);
  const client = parts.peers;
  const getNode = () => node;
  const config = new ConfigService({
    store,
    clock,
    log,
    makeId,
    onChange: () => getNode().adoptConfiguration(),
    findUnconfirmed: (hasReached) => {
      const missing = peers.listUnconfirmed(hasReached);
      // The answers to these heartbeats report the progress of the peers.
      heartbeats.sendTo(missing);
      return missing;
    },
    hasReported: (incarnation) =>
      peers.get(incarnation)?.heartbeat !== undefined,
  });
  const heartbeats = new Heartbeats({
    control,
    config,
    peers,
    client,
    pause,
    clock,
    log,
    describeSelf: () => getNode().describeSelf(),
  });
  const keyService = new KeyService({
    control,
    client,
    clock,
    refresh: () => getNode().runControlStep(),
  });
  const controlLoop = new ControlLoop({
    control,
    config,
    directory: new EndpointDirectory(settings.platform.vm_list_lag_ms),
    driver,
    peers,
    pause,
    keyService,
    store,
    vmList,
    clock,
    log,
    makeId,
    isIdle: () => getNode().isIdle(),
    onLeft: () => getNode().noteDeparture(),
  });
  const gateway = new EntryGateway({
    driver,
    peers: client,
    clock,
    listCandidates: (now) => getNode().listCandidates(now),
    noteForwardedWork: (ownerIncarnation) =>
      peers.noteForwardedWork(ownerIncarnation),
  });
  const node: EntryNode = new EntryNode(parts, {
    control,
    config,
    driver,
    peers,
    heartbeats,
    keyService,
    controlLoop,
    pause,
    router: createRouter(parts, gateway),
    poller: createPoller(parts, driver),
  });
  return node;
}

function createMember(parts: EntryParts): Member {
  const { vm, listen } = parts.settings;
  return {
    vm: vm.id,
    incarnation: `${vm.domain}/${vm.id}/${parts.makeId()}`,
    callers: formatAddress(listen.callers),
    peers: formatAddress(listen.advertise_peers ?? listen.peers),
  };
}

function createPeerTable(settings: Settings): PeerTable {
  const lostMs = settings.peers.heartbeat_ms * MAX_MISSED_HEARTBEATS;
  return new PeerTable((domain) =>
    domain === settings.vm.domain ? lostMs : lostMs * REMOTE_HEARTBEAT_FACTOR
  );
}

function createDriver(
  parts: EntryParts,
  control: ControlState,
): EngineDriver {
  const { random, placement, endpoints, clock, log, metrics } = parts;
  const { incarnation } = control.self;
  return new EngineDriver({
    engine: new Engine({ incarnation, random, placement }),
    endpoints,
    clock,
    log,
    metrics,
    taskLeaseMs: parts.settings.endpoints.task_lease_ms,
  });
}

function createRouter(parts: EntryParts, gateway: EntryGateway): Router {
  return new Router({
    gateway,
    clock: parts.clock,
    random: parts.random,
    domain: parts.settings.vm.domain,
    maxTries: MAX_ROUTE_TRIES,
    gangReservationMs: GANG_RESERVATION_MS,
    gangBackoffMs: GANG_BACKOFF_MS,
  });
}

function createPoller(
  parts: EntryParts,
  driver: EngineDriver,
): EndpointPoller {
  const { poll_ms, task_lease_ms } = parts.settings.endpoints;
  return new EndpointPoller({
    driver,
    client: parts.endpoints,
    clock: parts.clock,
    pollMs: poll_ms,
    leaseMs: task_lease_ms,
  });
}
