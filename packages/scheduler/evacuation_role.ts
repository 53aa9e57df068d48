import type { Clock } from "../base/mod.ts";
import {
  type Cell,
  countListedEndpoints,
  countUnlocatedRuns,
  type CurrentTime,
  listDomainEndpoints,
  listDomainRuns,
  mayStillStart,
} from "../cell/mod.ts";
import {
  applyRequests,
  confirmEffective,
  type EvacuationChange,
  EvacuationChangeKind,
  type EvacuationRequest,
} from "../evacuation/mod.ts";
import { EventCode, type EventLog } from "../events/mod.ts";
import type { Metrics } from "../metrics/mod.ts";
import type { KeyValueStore } from "../storage/mod.ts";
import { ORDER_TIMEOUT_MS } from "./constants.ts";
import { EvacuationFeed } from "./evacuation_feed.ts";
import type { SiteRecords } from "./ports.ts";

const EVENT_BY_CHANGE: Record<EvacuationChangeKind, EventCode> = {
  [EvacuationChangeKind.Requested]: EventCode.EvacuationRequested,
  [EvacuationChangeKind.Effective]: EventCode.EvacuationEffective,
  [EvacuationChangeKind.Withdrawn]: EventCode.EvacuationWithdrawn,
};

/** The dependencies and settings of an `EvacuationRole`. */
export interface EvacuationRoleParts {
  cell: Cell;
  store: KeyValueStore;
  records: SiteRecords;
  clock: Clock;
  log: EventLog;
  metrics: Metrics;
  /** Time after which nothing is started in the domain of a request, in ms. */
  evacuationMs: number;
  /** Called after the evacuations have changed. */
  onChanged: () => void;
}

/** Passes the requests for evacuations to the cell, and reports their effect. */
export class EvacuationRole {
  readonly #parts: EvacuationRoleParts;
  readonly #feed: EvacuationFeed;

  constructor(parts: EvacuationRoleParts) {
    this.#parts = parts;
    const { store, records, clock, log, evacuationMs } = parts;
    this.#feed = new EvacuationFeed({
      store,
      records,
      clock,
      log,
      // A start that is sent in time also has to arrive in time.
      maxAgeMs: evacuationMs - ORDER_TIMEOUT_MS,
      onChanged: (requests) => this.#applyRequests(requests),
    });
  }

  /** Watches the requests until stopped. */
  async run(): Promise<void> {
    await this.#feed.run();
  }

  /** Stops watching; this entry reports no runs any more. */
  stop(): void {
    this.#feed.stop();
    for (const domain of this.#evacuation.domains.keys()) {
      this.#setGauge(domain, 0);
    }
  }

  /** Returns whether the requests are recent enough to start tasks. */
  checkAge(time: CurrentTime): boolean {
    return this.#feed.checkAge(time);
  }

  /** Reports the evacuations that have become effective, and the remaining runs. */
  updateReports(): void {
    const { cell, clock } = this.#parts;
    const now = clock.now();
    const changes = confirmEffective(
      this.#evacuation,
      (domain) => mayStillStart(cell.state, { domain, now }),
    );
    this.#recordChanges(changes);
    if (this.#evacuation.domains.size === 0) return;
    const unlocated = countUnlocatedRuns(cell.state);
    for (const domain of this.#evacuation.domains.keys()) {
      const listed = listDomainRuns(cell.state, domain).length;
      this.#setGauge(domain, listed + (unlocated.get(domain) ?? 0));
    }
  }

  get #evacuation() {
    return this.#parts.cell.state.evacuation;
  }

  #applyRequests(requests: EvacuationRequest[]): void {
    const { clock, onChanged } = this.#parts;
    const changes = applyRequests(this.#evacuation, {
      requests,
      now: clock.now(),
    });
    this.#recordChanges(changes);
    for (const { kind, evacuation } of changes) {
      const isWithdrawn = kind === EvacuationChangeKind.Withdrawn;
      if (isWithdrawn) this.#setGauge(evacuation.domain, 0);
    }
    if (changes.length === 0) return;
    onChanged();
    this.updateReports();
  }

  #recordChanges(changes: readonly EvacuationChange[]): void {
    const { cell, clock, log } = this.#parts;
    const now = clock.now();
    for (const { kind, evacuation } of changes) {
      const { domain, sources, revision, requestedAt } = evacuation;
      log.record(EVENT_BY_CHANGE[kind], {
        subject: domain,
        sources,
        revision,
        sinceRequestMs: Math.round(now - requestedAt),
        endpoints: listDomainEndpoints(cell.state, domain).length,
        knownEndpoints: countListedEndpoints(cell.state),
        runs: listDomainRuns(cell.state, domain).length,
      });
    }
  }

  #setGauge(domain: string, runs: number): void {
    this.#parts.metrics.setGauge("evacuation_runs", runs, { domain });
  }
}
