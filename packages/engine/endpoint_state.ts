import { FAILURE_WINDOW } from "./constants.ts";
import { EndpointLedger } from "./ledger.ts";
import { type EndpointSpec, EndpointStatus } from "./types.ts";

/** One owned endpoint: its ledger, health and recent results. */
export class EndpointState {
  readonly ledger: EndpointLedger;
  /** True once a listing has reported the endpoint's running tasks. */
  recovered = false;
  reachable = true;
  /** True while the endpoint's shard is being handed over. */
  quiescing = false;
  /** Whether the endpoint's latest listing reported that it is leaving. */
  leaving = false;
  /**
   * When the next probe may start, in milliseconds since the Unix epoch;
   * undefined unless the endpoint is ejected.
   */
  nextProbeAt: number | undefined;
  readonly #results: boolean[] = [];

  /** `onChange` is called after the free resources have changed. */
  constructor(
    spec: EndpointSpec,
    onChange: (endpoint: EndpointState) => void = () => {},
  ) {
    this.ledger = new EndpointLedger(spec, () => onChange(this));
    onChange(this);
  }

  /** Whether the endpoint accepts tasks and, if it does not, the reason. */
  get status(): EndpointStatus {
    if (this.leaving || this.ledger.spec.leaving) {
      return EndpointStatus.Leaving;
    }
    if (this.quiescing) return EndpointStatus.Quiescing;
    if (!this.reachable) return EndpointStatus.Unreachable;
    if (!this.recovered) return EndpointStatus.Recovering;
    if (this.nextProbeAt !== undefined) return EndpointStatus.Ejected;
    return EndpointStatus.Serving;
  }

  /**
   * Returns whether the endpoint may start a task at `now`. An ejected endpoint
   * may start one as a probe once `nextProbeAt` is reached.
   */
  canStart(now: number): boolean {
    const { status } = this;
    if (status === EndpointStatus.Serving) return true;
    return status === EndpointStatus.Ejected && now >= this.nextProbeAt!;
  }

  /** Records whether a started task succeeded. */
  recordResult(succeeded: boolean): void {
    this.#results.push(succeeded);
    if (this.#results.length > FAILURE_WINDOW) this.#results.shift();
  }

  /** Removes the recorded results. */
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

  /** Fraction of recent results that are failures, from 0 to 1. */
  get failureRate(): number {
    return this.#results.length === 0
      ? 0
      : this.failures / this.#results.length;
  }
}
