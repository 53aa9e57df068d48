import { FAILURE_WINDOW } from "./constants.ts";
import { EndpointLedger } from "./ledger.ts";
import { type EndpointSpec, EndpointStatus } from "./types.ts";

/** One owned endpoint: its ledger, health and recent results. */
export class EndpointState {
  readonly ledger: EndpointLedger;
  /** True once its running tasks are known. */
  recovered = false;
  reachable = true;
  /** True while its shard is being handed over. */
  quiescing = false;
  /** The endpoint itself said that it is leaving. */
  leaving = false;
  /** While ejected, when the next probe may start. */
  probeAt: number | undefined;
  readonly #results: boolean[] = [];

  /** `onChange` is called after the free room has changed. */
  constructor(
    spec: EndpointSpec,
    onChange: (endpoint: EndpointState) => void = () => {},
  ) {
    this.ledger = new EndpointLedger(spec, () => onChange(this));
    onChange(this);
  }

  /** Why the endpoint does or does not take work. */
  get status(): EndpointStatus {
    if (this.leaving || this.ledger.spec.leaving) return EndpointStatus.Leaving;
    if (this.quiescing) return EndpointStatus.Quiescing;
    if (!this.reachable) return EndpointStatus.Unreachable;
    if (!this.recovered) return EndpointStatus.Recovering;
    if (this.probeAt !== undefined) return EndpointStatus.Ejected;
    return EndpointStatus.Serving;
  }

  /** Tells whether a task may start now; an ejected endpoint gets probes. */
  canStart(now: number): boolean {
    const { status } = this;
    if (status === EndpointStatus.Serving) return true;
    return status === EndpointStatus.Ejected && now >= this.probeAt!;
  }

  /** Records whether a started task ended well. */
  recordResult(succeeded: boolean): void {
    this.#results.push(succeeded);
    if (this.#results.length > FAILURE_WINDOW) this.#results.shift();
  }

  /** Forgets earlier results. */
  clearResults(): void {
    this.#results.length = 0;
  }

  /** Number of recent failures. */
  get failures(): number {
    return this.#results.filter((succeeded) => !succeeded).length;
  }

  /** Number of recent successes. */
  get successes(): number {
    return this.#results.length - this.failures;
  }

  /** Recent failures as a part of recent results, from 0 to 1. */
  get failureRate(): number {
    return this.#results.length === 0
      ? 0
      : this.failures / this.#results.length;
  }
}
