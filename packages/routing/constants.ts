import { Cause } from "../base/mod.ts";

/** Causes of refusal, with nothing run, after which another owner is tried. */
export const REROUTABLE_CAUSES: ReadonlySet<Cause> = new Set([
  Cause.Draining,
  Cause.NoEndpoint,
  Cause.QueueFull,
  Cause.EndpointRefused,
  Cause.DeadlineUnreachable,
  Cause.EntryLost,
]);
