import type { EndpointListing, TaskResult, TaskStart } from "./types.ts";

/** Id and address of an endpoint. */
export interface EndpointAddress {
  id: string;
  /** `ip:port`. */
  address: string;
}

/** Client for the protocol between entries and endpoints. */
export abstract class EndpointClient {
  /**
   * Starts a task and waits for its answer; failures are part of the result,
   * nothing is thrown.
   */
  abstract start(
    endpoint: EndpointAddress,
    task: TaskStart,
  ): Promise<TaskResult>;

  /**
   * Renews the leases of all tasks of an endpoint and returns their listing.
   *
   * @throws {NotSentError | UnknownEffectError} when the call fails
   * @throws {FormatError} when the answer is not a listing
   */
  abstract renewLeases(
    endpoint: EndpointAddress,
    leaseMs: number,
  ): Promise<EndpointListing>;

  /**
   * Asks an endpoint to stop a task.
   *
   * @throws {NotSentError | UnknownEffectError} when the call fails
   */
  abstract stop(endpoint: EndpointAddress, taskId: string): Promise<void>;

  /** Closes all connections. */
  abstract close(): Promise<void>;
}
