import type { Clock } from "../base/mod.ts";
import type { Cell, Present } from "../cell/mod.ts";
import { EventCode, type EventLog } from "../events/mod.ts";
import {
  type KeyValueStore,
  type StoredItem,
  TransactionResult,
} from "../storage/mod.ts";
import {
  applyUpkeepAnswer,
  collectBegun,
  type EndpointVm,
  listBusy,
  makeWave,
  noteRecorded,
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
  UPKEEP_TICK_MS,
  VM_CALL_TIMEOUT_MS,
  VM_LIST_MS,
  WAVE_WATCH_MS,
} from "./constants.ts";
import type { Ownership } from "./election.ts";
import type { EndpointVms, SiteRecords } from "./ports.ts";

/** What waves of upkeep are carried out with. */
export interface UpkeepParts {
  ownership: Ownership;
  cell: Cell;
  store: KeyValueStore;
  records: SiteRecords;
  vms: EndpointVms;
  clock: Clock;
  log: EventLog;
  /** A new owner gives VMs no orders for this long, in milliseconds. */
  takeOverPauseMs: number;
  /** Runs were stopped, or endpoints closed or opened. */
  onChanged: () => void;
  onDeposed: (reason: string) => void;
}

/** Carries out waves of upkeep for the cell's owner. */
export class UpkeepRole {
  readonly #parts: UpkeepParts;
  readonly #waves = new Map<number, Wave>();
  /** Endpoints that get no new work, by wave. */
  readonly #closed = new Map<Wave, string[]>();
  readonly #completed = new Set<number>();
  #vms = new Map<string, EndpointVm>();
  #listedAt = Number.NEGATIVE_INFINITY;
  #isListing = false;
  #isStopped = false;

  constructor(parts: UpkeepParts) {
    this.#parts = parts;
  }

  /** Follows the operators' requests until stopped. */
  async run(): Promise<void> {
    const { clock, log, takeOverPauseMs } = this.#parts;
    // The former owner's orders to a VM and these must not take turns.
    await clock.sleep(takeOverPauseMs);
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

  /** Gives no further orders. */
  stop(): void {
    this.#isStopped = true;
  }

  /** Describes the waves, for a dump. */
  describe(): unknown {
    return [...this.#waves.values()].map(({ request, upkeeps }) => ({
      wave: request.number,
      vms: [...upkeeps.values()].map(({ vm, phase }) => ({ vm, phase })),
    }));
  }

  async #readWaves(): Promise<number> {
    const { records } = this.#parts;
    const recorded = await this.#listAll(UPKEEP_PREFIX);
    const begun = new Map(
      recorded.items.map(({ key, value }) => [key, JSON.parse(value)]),
    );
    const reports = await this.#listAll(records.waveStatusPrefix);
    for (const { key, value } of reports.items) {
      const report = records.decodeWaveStatus(key, value);
      if (report?.isCompleted) this.#completed.add(report.number);
    }
    const { items, revision } = await this.#listAll(records.wavePrefix);
    for (const { key, value } of items) this.#adoptWave({ key, value, begun });
    return revision;
  }

  async #listAll(
    prefix: string,
  ): Promise<{ items: StoredItem[]; revision: number }> {
    const items: StoredItem[] = [];
    let first = 0;
    for (;;) {
      const page = await this.#parts.store.list(prefix, items.at(-1)?.key);
      // Pages are no snapshot: the watch starts at the oldest of them.
      first ||= page.revision;
      items.push(...page.items);
      if (!page.hasMore || page.items.length === 0) {
        return { items, revision: first };
      }
    }
  }

  async #watchWaves(after: number): Promise<number> {
    const { store, records } = this.#parts;
    const { changes, revision } = await store.watch(records.wavePrefix, {
      after,
      waitMs: WAVE_WATCH_MS,
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
    if (this.#completed.has(number)) return;
    const known = this.#waves.get(number);
    if (known && isSameRequest(known.request, request)) return;
    if (known) this.#closed.delete(known);
    const before = known && collectBegun(known);
    const wave = makeWave(request, {
      begun: before ?? begun?.get(UPKEEP_PREFIX + number) ?? {},
      now: clock.now(),
    });
    this.#waves.set(number, wave);
    if (known) return;
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
      await clock.sleep(UPKEEP_TICK_MS);
    }
  }

  /** Carries one plan out; true when the wave is over. */
  async #stepWave(wave: Wave): Promise<boolean> {
    const { cell, clock, onChanged } = this.#parts;
    await this.#readVms();
    const now = clock.now();
    if (!this.#mayOrder(now)) return false;
    const others = [...this.#waves.values()].filter((each) => each !== wave);
    const plan = planWave(wave, {
      now,
      vms: this.#vms,
      listedAt: this.#listedAt,
      busy: new Set(others.flatMap(listBusy)),
      isEmpty: (endpoint) => cell.isEndpointEmpty(endpoint),
    });
    this.#closed.set(wave, plan.close);
    cell.setClosing(new Set([...this.#closed.values()].flat()));
    for (const endpoint of plan.stop) {
      cell.stopRunsOn(endpoint, this.#getPresent());
    }
    if (plan.stop.length > 0) onChanged();
    await this.#record(wave, plan);
    for (const upkeep of plan.order) {
      void this.#sendOrder(wave.request.number, upkeep);
    }
    const { number } = wave.request;
    if (plan.isCompleted && !this.#completed.has(number)) {
      if (await this.#writeReport(number, true)) this.#completed.add(number);
    }
    if (!plan.isOver || !this.#completed.has(number)) return false;
    this.#closed.delete(wave);
    this.#waves.delete(number);
    return true;
  }

  async #readVms(): Promise<void> {
    const { vms, clock } = this.#parts;
    const askedAt = clock.now();
    if (this.#isListing || askedAt - this.#listedAt < VM_LIST_MS) return;
    this.#isListing = true;
    try {
      const list = await vms.list({ timeoutMs: VM_CALL_TIMEOUT_MS });
      this.#vms = new Map(list.map((vm) => [vm.name, vm]));
      this.#listedAt = askedAt;
    } finally {
      this.#isListing = false;
    }
  }

  /** An upkeep is in the store before it is ordered: the next owner asks again. */
  async #record(wave: Wave, plan: WavePlan): Promise<void> {
    if (plan.record.length === 0) return;
    const { number } = wave.request;
    const value = JSON.stringify(collectBegun(wave));
    if (!await this.#commit(UPKEEP_PREFIX + number, value)) return;
    noteRecorded(plan.record, this.#parts.clock.now());
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
    if (!this.#mayOrder(clock.now())) return;
    upkeep.isCallUnderWay = true;
    const { result, detail } = await vms.beginUpkeep({
      vm: upkeep.vm,
      wave,
      holder: ownership.record.entry,
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
      this.#parts.onDeposed(`${upkeep.vm} has a newer holder`);
    }
  }

  /** Another owner may give orders as soon as this one's lease may have ended. */
  #mayOrder(now: number): boolean {
    return !this.#isStopped &&
      now - this.#parts.ownership.confirmedAt < OWNER_LEASE_MS;
  }

  #getPresent(): Present {
    return { now: this.#parts.clock.now(), wallNow: Date.now() };
  }
}

function isSameRequest(a: WaveRequest, b: WaveRequest): boolean {
  return JSON.stringify(a) === JSON.stringify(b);
}
