import type { EndpointListing, TaskResult, TaskStart } from "./types.ts";

/** An endpoint's identity and address. */
export interface EndpointAddress {
  id: string;
  /** `ip:port`. */
  address: string;
}

/** The protocol towards endpoints. */
export abstract class EndpointClient {
  /** Starts a task and waits for its end; never throws. */
  abstract start(
    endpoint: EndpointAddress,
    task: TaskStart,
  ): Promise<TaskResult>;

  /**
   * Renews the leases of all tasks of an endpoint and lists them.
   *
   * @throws {NotSentError | UnknownEffectError} when no answer came
   */
  abstract renew(
    endpoint: EndpointAddress,
    leaseMs: number,
  ): Promise<EndpointListing>;

  /**
   * Asks an endpoint to stop a task.
   *
   * @throws {NotSentError | UnknownEffectError} when no answer came
   */
  abstract stop(endpoint: EndpointAddress, task: string): Promise<void>;

  /** Frees the connections. */
  abstract close(): Promise<void>;
}
