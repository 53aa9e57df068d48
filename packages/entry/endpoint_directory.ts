import { findShard, SHARDS_PER_DOMAIN, VmTracker } from "../membership/mod.ts";
import { type Vm, type VmListing, VmRole, VmState } from "../platform/mod.ts";
import type { EndpointSpec } from "../engine/mod.ts";

/** The endpoints of one failure domain, according to the VM list. */
export class EndpointDirectory {
  readonly tracker: VmTracker;
  readonly #specs = new Map<string, EndpointSpec>();

  /** `lagMs` is the longest delay of the VM list, in milliseconds. */
  constructor(lagMs: number) {
    this.tracker = new VmTracker(lagMs);
  }

  /**
   * Adopts an answer of the VM list. An endpoint that is no longer listed counts
   * as leaving until its VM is certainly gone. `sentAt` is the time at which the
   * list was requested, in milliseconds since the Unix epoch.
   */
  observe(listing: VmListing, sentAt: number): void {
    this.tracker.observe(listing, sentAt);
    for (const vm of this.tracker.vms.values()) {
      if (vm.role === VmRole.Endpoint) this.#specs.set(vm.id, makeSpec(vm));
    }
    const listedVms = this.tracker.vms;
    for (const [id, spec] of this.#specs) {
      if (!listedVms.has(id)) this.#specs.set(id, { ...spec, leaving: true });
    }
    const subjects = [...this.#specs.keys()].map((id) => ({ id, vm: id }));
    for (const id of this.tracker.findGone(subjects, sentAt)) {
      this.#specs.delete(id);
    }
  }

  /** Lists the endpoints in the given shards. */
  listByShards(shards: ReadonlySet<number>): EndpointSpec[] {
    return [...this.#specs.values()].filter((spec) => shards.has(spec.shard));
  }

  /** Returns the number of endpoints in each shard. */
  countByShard(): number[] {
    const counts = new Array<number>(SHARDS_PER_DOMAIN).fill(0);
    for (const { shard } of this.#specs.values()) counts[shard] += 1;
    return counts;
  }
}

function makeSpec(vm: Vm): EndpointSpec {
  return {
    id: vm.id,
    address: vm.address,
    rack: vm.rack,
    shard: findShard(vm.id),
    size: vm.size,
    slots: vm.slots,
    connections: vm.connections,
    leaving: vm.state === VmState.Leaving,
  };
}
