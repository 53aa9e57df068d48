import {
  Cause,
  computeHash,
  makeNotRun,
  type Outcome,
  type Work,
} from "../../base/mod.ts";
import { parseKey } from "../../idempotency/mod.ts";
import { CLOCK_SKEW_MS } from "../../idempotency/mod.ts";
import { DEFAULT_TIMEOUT_MS, MAX_TIMEOUT_MS } from "../constants.ts";
import { Filter } from "../filter.ts";
import type { FleetCapacity, RequestContext, WorkBody } from "../types.ts";

/** Builds the work from the request and refuses work that can never run. */
export class ScreenFilter extends Filter {
  override readonly name = "screen";

  override apply(context: RequestContext, now: number): Outcome | undefined {
    const { raw } = context;
    const body = context.body!;
    if (!context.queue!.kinds.includes(body.kind)) {
      const kinds = context.queue!.kinds.join(", ");
      const detail = `this queue accepts only work of kind ${kinds}`;
      return makeNotRun(Cause.Impossible, detail);
    }
    const deadline = computeDeadline(body, raw.arrivedAt);
    if (deadline <= now) {
      return makeNotRun(Cause.DeadlinePassed, "the deadline has passed");
    }
    if (deadline > now + MAX_TIMEOUT_MS) {
      const detail =
        `the deadline may be at most ${MAX_TIMEOUT_MS} ms from now`;
      return makeNotRun(Cause.BadRequest, detail);
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
    const body = context.body!;
    const { limit } = context.configuration.teams[context.team!];
    if (body.tasks > limit) {
      const detail = `the team may run ${limit} tasks at once`;
      return makeNotRun(Cause.Impossible, detail);
    }
    return checkFleetCapacity(body, this.host.measureFleetCapacity(now));
  }
}

function checkFleetCapacity(
  body: WorkBody,
  fleet: FleetCapacity,
): Outcome | undefined {
  if (!fleet.isKnown) return undefined;
  const { largest } = fleet;
  if (
    body.cores > largest.cores || body.memory_mb > largest.memoryMb ||
    body.accelerators > largest.accelerators
  ) {
    const detail = "a task is larger than every endpoint: at most " +
      `${largest.cores} cores, ${largest.memoryMb} MB, ` +
      `${largest.accelerators} accelerators`;
    return makeNotRun(Cause.Impossible, detail);
  }
  if (body.tasks <= fleet.slots) return undefined;
  const detail =
    `the work has more tasks than the fleet has slots (${fleet.slots})`;
  return makeNotRun(Cause.Impossible, detail);
}

function checkIdempotencyKey(
  text: string | undefined,
  now: number,
): Outcome | undefined {
  if (text === undefined) return undefined;
  const key = parseKey(text);
  if (!key) {
    const detail = "Idempotency-Key must be a UUID of version 7, or " +
      "`DOMAIN/UUID` with the name of a failure domain";
    return makeNotRun(Cause.BadRequest, detail);
  }
  if (key.madeAt <= now + CLOCK_SKEW_MS) return undefined;
  const detail =
    "Idempotency-Key has a timestamp in the future; check the clock";
  return makeNotRun(Cause.BadRequest, detail);
}

function computeDeadline(body: WorkBody, arrivedAt: number): number {
  if (body.deadline) return Date.parse(body.deadline);
  return arrivedAt + (body.timeout_ms ?? DEFAULT_TIMEOUT_MS);
}

function makeWork(context: RequestContext, deadline: number): Work {
  const { raw } = context;
  const body = context.body!;
  return {
    id: raw.id,
    team: context.team!,
    queue: raw.queue,
    kind: body.kind,
    tasks: body.tasks,
    size: {
      cores: body.cores,
      memoryMb: body.memory_mb,
      accelerators: body.accelerators,
    },
    deadline,
    idempotent: body.idempotent,
    urgent: context.queue!.urgent,
    idempotencyKey: raw.idempotencyKey,
    fingerprint: computeHash(`${raw.queue}\n${raw.body}`),
    payload: JSON.stringify(body.payload),
  };
}
