import { Cause } from "../base/mod.ts";

/** Refusals after which another owner may be asked: nothing ran. */
export const REROUTED_CAUSES: ReadonlySet<Cause> = new Set([
  Cause.Draining,
  Cause.NoEndpoint,
  Cause.QueueFull,
  Cause.EndpointRefused,
  Cause.DeadlineUnreachable,
  Cause.EntryLost,
]);
