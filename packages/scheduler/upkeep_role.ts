import type { Clock } from "../base/mod.ts";
import type { Cell, CurrentTime } from "../cell/mod.ts";
import { EventCode, type EventLog } from "../events/mod.ts";
import {
  type KeyValueStore,
  listAll,
  requireJson,
  TransactionResult,
} from "../storage/mod.ts";
import {
  applyUpkeepAnswer,
  collectBegun,
  confirmRecorded,
  type EndpointVm,
  listInProgress,
  makeWave,
  planWave,
  UpkeepResult,
  type VmUpkeep,
  type Wave,
  type WavePlan,
  type WaveRequest,
} from "../upkeep/mod.ts";
import {
  OWNER_KEY,
  OWNER_LEASE_MS,
  STORE_RETRY_MS,
  UPKEEP_PREFIX,
  VM_CALL_TIMEOUT_MS,
  VM_LIST_INTERVAL_MS,
  WAVE_PLAN_INTERVAL_MS,
  WAVE_WATCH_WAIT_MS,
} from "./constants.ts";
import type { Ownership } from "./election.ts";
import type { EndpointVms, SiteRecords } from "./ports.ts";

/** The dependencies and settings of an `UpkeepRole`. */
export interface UpkeepRoleParts {
  ownership: Ownership;
  cell: Cell;
  store: KeyValueStore;
  records: SiteRecords;
  vms: EndpointVms;
  clock: Clock;
  log: EventLog;
  /** Time for which a new owner sends no orders to VMs, in milliseconds. */
  takeOverPauseMs: number;
  /** Called after this role has stopped runs in the cell. */
  onChanged: () => void;
  /** Called when another entry is found to own the cell. */
  onDeposed: (reason: string) => void;
}

/**
 * Carries out upkeep waves, the rolling maintenance of endpoints' VMs that
 * operators request: drains endpoints, records which upkeeps may begin, orders
 * them from the platform, and reports the progress.
 */
export class UpkeepRole {
  readonly #parts: UpkeepRoleParts;
  readonly #waves = new Map<number, Wave>();
  /** Endpoints that are drained or down for upkeep, by wave. */
  readonly #cordonedEndpoints = new Map<Wave, string[]>();
  /** Numbers of the waves that are reported as completed. */
  readonly #completedWaves = new Set<number>();
  #vms = new Map<string, EndpointVm>();
  #vmsListedAt = Number.NEGATIVE_INFINITY;
  #isListingVms = false;
  /** No orders are sent to VMs before this time, in milliseconds. */
  #ordersFrom = Number.POSITIVE_INFINITY;
  #isStopped = false;

  constructor(parts: UpkeepRoleParts) {
    this.#parts = parts;
  }

  /**
   * Watches the operators' wave requests and runs the waves until stopped. Endpoints whose
   * upkeep a former owner has recorded are cordoned from the start.
   */
  async run(): Promise<void> {
    const { clock, log, takeOverPauseMs } = this.#parts;
    // Orders of the former owner may still be in flight; they must not
    // interleave with this owner's orders to the same VM.
    this.#ordersFrom = clock.now() + takeOverPauseMs;
    while (!this.#isStopped) {
      try {
        let revision = await this.#readWaves();
        while (!this.#isStopped) {
          revision = await this.#watchWaves(revision);
        }
      } catch (error) {
        log.record(EventCode.StoreUnavailable, {
          reader: "upkeep",
          reason: String(error),
        });
        await clock.sleep(STORE_RETRY_MS);
      }
    }
  }

  /** Stops all waves; no further orders are sent. */
  stop(): void {
    this.#isStopped = true;
  }

  /** Describes the waves for a dump. */
  describe(): unknown {
    return [...this.#waves.values()].map(({ request, upkeeps }) => ({
      wave: request.number,
      vms: [...upkeeps.values()].map(({ vm, phase }) => ({ vm, phase })),
    }));
  }

  async #readWaves(): Promise<number> {
    const { records } = this.#parts;
    const upkeepRecords = await listAll(this.#parts.store, UPKEEP_PREFIX);
    const begun = new Map(
      upkeepRecords.items.map((item) => [
        item.key,
        requireJson<Record<string, string>>(item),
      ]),
    );
    const reports = await listAll(this.#parts.store, records.waveStatusPrefix);
    for (const { key, value } of reports.items) {
      const report = records.decodeWaveStatus(key, value);
      if (report?.isCompleted) this.#completedWaves.add(report.number);
    }
    const { items, revision } = await listAll(
      this.#parts.store,
      records.wavePrefix,
    );
    for (const { key, value } of items) this.#adoptWave({ key, value, begun });
    return revision;
  }

  async #watchWaves(after: number): Promise<number> {
    const { store, records } = this.#parts;
    const { changes, revision } = await store.watch(records.wavePrefix, {
      after,
      waitMs: WAVE_WATCH_WAIT_MS,
    });
    for (const { key, value } of changes) {
      if (value !== undefined) this.#adoptWave({ key, value });
    }
    return revision;
  }

  #adoptWave(
    { key, value, begun }: {
      key: string;
      value: string;
      begun?: Map<string, Record<string, string>>;
    },
  ): void {
    const { clock, log, records } = this.#parts;
    const request = records.decodeWave(key, value);
    if (!request) {
      log.record(EventCode.WaveRejected, { subject: key });
      return;
    }
    const { number } = request;
    if (this.#completedWaves.has(number)) return;
    const existing = this.#waves.get(number);
    if (existing && isSameRequest(existing.request, request)) return;
    if (existing) this.#cordonedEndpoints.delete(existing);
    const begunBefore = existing && collectBegun(existing);
    const wave = makeWave(request, {
      begun: begunBefore ?? begun?.get(UPKEEP_PREFIX + number) ?? {},
      now: clock.now(),
    });
    this.#waves.set(number, wave);
    if (existing) return;
    log.record(EventCode.WaveBegan, {
      subject: String(number),
      vms: request.vms.length,
      maxDown: request.maxDown,
      durationMs: request.durationMs,
      begun: Object.keys(collectBegun(wave)).length,
    });
    void this.#runWave(number);
  }

  async #runWave(number: number): Promise<void> {
    const { clock, log } = this.#parts;
    let isReported = false;
    for (;;) {
      const wave = this.#waves.get(number);
      if (this.#isStopped || !wave) return;
      try {
        isReported ||= await this.#writeReport(number, false);
        if (await this.#stepWave(wave)) return;
      } catch (error) {
        log.record(EventCode.UpkeepDelayed, {
          subject: String(number),
          reason: String(error),
        });
      }
      await clock.sleep(WAVE_PLAN_INTERVAL_MS);
    }
  }

  /** Plans a wave, carries the plan out; returns whether the wave is over. */
  async #stepWave(wave: Wave): Promise<boolean> {
    const { cell, clock, onChanged } = this.#parts;
    await this.#readVms();
    const now = clock.now();
    if (!this.#mayOrder(now)) return false;
    const otherWaves = [...this.#waves.values()].filter((candidate) =>
      candidate !== wave
    );
    const plan = planWave(wave, {
      now,
      vms: this.#vms,
      listRequestedAt: this.#vmsListedAt,
      busyElsewhere: new Set(otherWaves.flatMap(listInProgress)),
      isEmpty: (endpoint) => cell.isEndpointEmpty(endpoint),
    });
    this.#cordonedEndpoints.set(wave, plan.cordonedEndpoints);
    cell.setCordoned(new Set([...this.#cordonedEndpoints.values()].flat()));
    for (const endpoint of plan.endpointsToStop) {
      cell.stopRunsOn(endpoint, this.#getCurrentTime());
    }
    if (plan.endpointsToStop.length > 0) onChanged();
    await this.#recordUpkeeps(wave, plan);
    for (const upkeep of plan.upkeepsToOrder) {
      void this.#sendOrder(wave.request.number, upkeep);
    }
    const { number } = wave.request;
    if (plan.isCompleted && !this.#completedWaves.has(number)) {
      if (await this.#writeReport(number, true)) {
        this.#completedWaves.add(number);
      }
    }
    if (!plan.isOver || !this.#completedWaves.has(number)) return false;
    this.#cordonedEndpoints.delete(wave);
    this.#waves.delete(number);
    return true;
  }

  async #readVms(): Promise<void> {
    const { vms, clock } = this.#parts;
    const sentAt = clock.now();
    if (
      this.#isListingVms || sentAt - this.#vmsListedAt < VM_LIST_INTERVAL_MS
    ) return;
    this.#isListingVms = true;
    try {
      const list = await vms.list({ timeoutMs: VM_CALL_TIMEOUT_MS });
      this.#vms = new Map(list.map((vm) => [vm.name, vm]));
      this.#vmsListedAt = sentAt;
    } finally {
      this.#isListingVms = false;
    }
  }

  /**
   * Records upkeeps in the store before they are ordered, so that the next
   * owner repeats the orders.
   */
  async #recordUpkeeps(wave: Wave, plan: WavePlan): Promise<void> {
    if (plan.upkeepsToRecord.length === 0) return;
    const { number } = wave.request;
    const value = JSON.stringify(collectBegun(wave));
    if (!await this.#commit(UPKEEP_PREFIX + number, value)) return;
    confirmRecorded(plan.upkeepsToRecord, this.#parts.clock.now());
  }

  async #writeReport(number: number, isCompleted: boolean): Promise<boolean> {
    const { records, log } = this.#parts;
    const report = records.encodeWaveStatus({ number, isCompleted });
    const isWritten = await this.#commit(report.key, report.value);
    if (isWritten && isCompleted) {
      log.record(EventCode.WaveCompleted, { subject: String(number) });
    }
    return isWritten;
  }

  async #commit(key: string, value: string): Promise<boolean> {
    const { store, ownership, onDeposed } = this.#parts;
    const { result } = await store.commit({
      expected: [{ key: OWNER_KEY, revision: ownership.revision }],
      puts: [{ key, value }],
      deletes: [],
    });
    if (result === TransactionResult.Applied) return true;
    onDeposed("the claim of ownership was replaced");
    return false;
  }

  async #sendOrder(wave: number, upkeep: VmUpkeep): Promise<void> {
    const { clock, log, vms, ownership } = this.#parts;
    const now = clock.now();
    if (now < this.#ordersFrom || !this.#mayOrder(now)) return;
    upkeep.isCallInFlight = true;
    const { result, detail } = await vms.beginUpkeep({
      vm: upkeep.vm,
      wave,
      owner: ownership.record.entry,
      fence: ownership.revision,
    }, { timeoutMs: VM_CALL_TIMEOUT_MS });
    log.record(EventCode.UpkeepOrdered, {
      subject: upkeep.vm,
      wave,
      endpoint: upkeep.formerEndpoint,
      outcome: result,
      detail,
    });
    applyUpkeepAnswer(upkeep, { result, now: clock.now() });
    if (result === UpkeepResult.Deposed) {
      this.#parts.onDeposed(`${upkeep.vm} has orders of a newer owner`);
    }
  }

  /**
   * Returns whether orders to VMs may be sent. Once this owner's lease may have
   * expired, another owner may send them.
   */
  #mayOrder(now: number): boolean {
    const { clock, ownership } = this.#parts;
    const time = { now, wallNow: clock.readWallTime() };
    const ageMs = ownership.confirmation.measureAge(time);
    return !this.#isStopped && ageMs < OWNER_LEASE_MS;
  }

  #getCurrentTime(): CurrentTime {
    const { clock } = this.#parts;
    return { now: clock.now(), wallNow: clock.readWallTime() };
  }
}

function isSameRequest(a: WaveRequest, b: WaveRequest): boolean {
  return JSON.stringify(a) === JSON.stringify(b);
}
