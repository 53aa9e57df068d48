import {
  Cause,
  computeHash,
  makeNotRunOutcome,
  type Outcome,
  type Work,
} from "../../base/mod.ts";
import { parseKey } from "../../idempotency/mod.ts";
import { CLOCK_SKEW_MS } from "../../idempotency/mod.ts";
import { DEFAULT_TIMEOUT_MS, MAX_TIMEOUT_MS } from "../constants.ts";
import { Filter } from "../filter.ts";
import type { FleetCapacity, RequestContext, WorkRequest } from "../types.ts";

/** Builds the work from the request and refuses work that can never run. */
export class ScreenFilter extends Filter {
  override readonly name = "screen";

  override apply(context: RequestContext, now: number): Outcome | undefined {
    const { raw } = context;
    const request = context.request!;
    if (!context.queue!.kinds.includes(request.kind)) {
      const kinds = context.queue!.kinds.join(", ");
      const detail = `this queue accepts only work of kind ${kinds}`;
      return makeNotRunOutcome(Cause.Impossible, detail);
    }
    const deadline = computeDeadline(request, raw.arrivedAt);
    if (deadline <= now) {
      return makeNotRunOutcome(Cause.DeadlinePassed, "the deadline has passed");
    }
    if (deadline > now + MAX_TIMEOUT_MS) {
      const detail =
        `the deadline may be at most ${MAX_TIMEOUT_MS} ms from now`;
      return makeNotRunOutcome(Cause.BadRequest, detail);
    }
    const refusal = this.#checkCapacity(context, now) ??
      checkIdempotencyKey(raw.idempotencyKey, now);
    if (refusal) return refusal;
    context.work = makeWork(context, deadline);
    return undefined;
  }

  #checkCapacity(
    context: RequestContext,
    now: number,
  ): Outcome | undefined {
    const request = context.request!;
    const { limit } = context.configuration.teams[context.team!];
    if (request.tasks > limit) {
      const detail = `the team may run ${limit} tasks at once`;
      return makeNotRunOutcome(Cause.Impossible, detail);
    }
    return checkFleetCapacity(request, this.host.measureFleetCapacity(now));
  }
}

function checkFleetCapacity(
  request: WorkRequest,
  fleet: FleetCapacity,
): Outcome | undefined {
  if (!fleet.isKnown) return undefined;
  const { largest } = fleet;
  if (
    request.cores > largest.cores || request.memory_mb > largest.memoryMb ||
    request.accelerators > largest.accelerators
  ) {
    const detail = "a task is larger than every endpoint: at most " +
      `${largest.cores} cores, ${largest.memoryMb} MB, ` +
      `${largest.accelerators} accelerators`;
    return makeNotRunOutcome(Cause.Impossible, detail);
  }
  if (request.tasks <= fleet.slots) return undefined;
  const detail =
    `the work has more tasks than the ${fleet.slots} slots of the fleet`;
  return makeNotRunOutcome(Cause.Impossible, detail);
}

function checkIdempotencyKey(
  keyText: string | undefined,
  now: number,
): Outcome | undefined {
  if (keyText === undefined) return undefined;
  const key = parseKey(keyText);
  if (!key) {
    const detail = "Idempotency-Key must be a UUID of version 7, or " +
      "`DOMAIN/UUID` with the name of a failure domain";
    return makeNotRunOutcome(Cause.BadRequest, detail);
  }
  if (key.createdAt <= now + CLOCK_SKEW_MS) return undefined;
  const detail =
    "Idempotency-Key has a timestamp in the future; check the clock";
  return makeNotRunOutcome(Cause.BadRequest, detail);
}

function computeDeadline(request: WorkRequest, arrivedAt: number): number {
  if (request.deadline) return Date.parse(request.deadline);
  return arrivedAt + (request.timeout_ms ?? DEFAULT_TIMEOUT_MS);
}

function makeWork(context: RequestContext, deadline: number): Work {
  const { raw } = context;
  const request = context.request!;
  return {
    id: raw.id,
    team: context.team!,
    queue: raw.queue,
    kind: request.kind,
    tasks: request.tasks,
    size: {
      cores: request.cores,
      memoryMb: request.memory_mb,
      accelerators: request.accelerators,
    },
    deadline,
    idempotent: request.idempotent,
    urgent: context.queue!.urgent,
    idempotencyKey: raw.idempotencyKey,
    fingerprint: computeHash(`${raw.queue}\n${raw.body}`),
    payload: JSON.stringify(request.payload),
  };
}
