import type { Size } from "../base/mod.ts";
import type { ControlState } from "../control/mod.ts";
import type { EngineState } from "../engine/mod.ts";
import type { OwnerLoad } from "../peers/mod.ts";
import type { FleetCapacity } from "../pipeline/mod.ts";
import type { OwnerCandidate } from "../routing/mod.ts";
import type { PeerTable } from "./peer_table.ts";

const ZERO_SIZE: Size = { cores: 0, memoryMb: 0, accelerators: 0 };

/** Returns the larger of two sizes in each resource. */
export function combineLargest(a: Size, b: Size): Size {
  return {
    cores: Math.max(a.cores, b.cores),
    memoryMb: Math.max(a.memoryMb, b.memoryMb),
    accelerators: Math.max(a.accelerators, b.accelerators),
  };
}

/** Measures the load and free capacity of an engine's endpoints. */
export function measureLoad(state: EngineState, now: number): OwnerLoad {
  const load: OwnerLoad = {
    endpoints: 0,
    slots: 0,
    freeSlots: 0,
    waiting: state.queue.size,
    blocked: state.queue.listTeams().filter((team) => !state.hasGrant(team)),
    largest: ZERO_SIZE,
  };
  for (const endpoint of state.endpointList) {
    const { spec, freeSlots } = endpoint.ledger;
    load.slots += spec.slots;
    load.largest = combineLargest(load.largest, spec.size);
    if (!endpoint.canStart(now)) continue;
    load.endpoints += 1;
    load.freeSlots += freeSlots;
  }
  return load;
}

/** Lists this entry and the peers that new work may be sent to. */
export function listCandidates(
  sources: { control: ControlState; peers: PeerTable; engine: EngineState },
  now: number,
): OwnerCandidate[] {
  const { control, peers, engine } = sources;
  const self: OwnerCandidate = {
    incarnation: control.self.incarnation,
    domain: control.domain,
    address: control.self.peers,
    isSelf: true,
    draining: engine.draining,
    load: measureLoad(engine, now),
  };
  const peerCandidates = peers.listRoutable(now).flatMap((peer) => {
    if (!peer.heartbeat) return [];
    const { load, draining, incarnation } = peer.heartbeat;
    const { domain, member } = peer;
    const address = member.peers;
    return [{ incarnation, domain, address, isSelf: false, draining, load }];
  });
  return [self, ...peerCandidates];
}

/** Computes the capacity of all candidates together. */
export function measureFleetCapacity(
  candidates: readonly OwnerCandidate[],
  isKnown: boolean,
): FleetCapacity {
  const capacity: FleetCapacity = { isKnown, largest: ZERO_SIZE, slots: 0 };
  for (const { load } of candidates) {
    capacity.slots += load.slots;
    capacity.largest = combineLargest(capacity.largest, load.largest);
  }
  return capacity;
}
