import { Cause } from "../base/mod.ts";

/** Causes for which work that has not run is sent to another owner. */
export const REROUTABLE_CAUSES: ReadonlySet<Cause> = new Set([
  Cause.Draining,
  Cause.NoEndpoint,
  Cause.QueueFull,
  Cause.EndpointRefused,
  Cause.DeadlineUnreachable,
  Cause.EntryLost,
]);
