import { getCapacityDemand } from "../jobs/mod.ts";
import { FULL_PACE } from "./constants.ts";
import { measureFreeCores, type PlacementPass } from "./placement_pass.ts";
import { reserveLease } from "./leases.ts";
import { describeSpeed } from "./speed_tiers.ts";
import { getStep } from "./stages.ts";
import {
  addDecision,
  addPlacement,
  addRun,
  describeRoom,
  removeWaiting,
} from "./state.ts";
import {
  DecisionKind,
  type Endpoint,
  OrderKind,
  type Run,
  RunPhase,
  type Stage,
  type StartOrder,
  type Task,
  TaskPhase,
} from "./types.ts";

/**
 * Reserves the resources of a run and issues its start order, which is sent
 * after the placement is committed.
 */
export function startTask(
  pass: PlacementPass,
  stage: Stage,
  options: { task: Task; endpoint: Endpoint; run: number },
): void {
  const { state, now } = pass;
  const { task, endpoint } = options;
  const run: Run = {
    task: task.name,
    number: options.run,
    endpoint,
    demand: getCapacityDemand(getStep(stage)),
    charge: getStep(stage).demand,
    organisation: stage.job.spec.organisation,
    phase: RunPhase.Starting,
    lastChangedAt: now,
    startedAt: now,
    isStopAcknowledged: false,
    isStopOrderInFlight: false,
    isLifetimeKnown: false,
    sentToBornAt: 0,
    sentFence: 0,
    startMayArriveUntil: 0,
    startSettledAt: 0,
    unlistedLeaseEndsAt: 0,
    hasTicket: stage.job.spec.queue.advice !== undefined,
    percent: 0,
    isResumed: task.checkpoint !== "",
    progressAt: now,
    pace: FULL_PACE,
    isPaceOrderInFlight: false,
    gauge: 0,
  };
  addRun(state, run);
  addPlacement(state, run);
  reserveLease(endpoint, { now, leaseMs: state.leaseMs });
  task.placedOn = endpoint.info.id;
  task.placedBornAt = endpoint.bornAt;
  task.placedAt = state.plannedAt;
  task.phase = TaskPhase.Placed;
  task.run = run;
  task.lastRun = options.run;
  removeWaiting(state, stage);
  const ticket = stage.advice.allowedEndpoints.get(endpoint.info.id);
  const order: StartOrder = {
    kind: OrderKind.Start,
    run,
    payload: stage.job.spec.payload,
    checkpoint: task.checkpoint,
    ticket: ticket?.ticket ?? "",
    ticketEndsAt: ticket?.expiresAt ?? Number.MAX_SAFE_INTEGER,
  };
  state.output.orders.push(order);
  if (getStep(stage).gang) {
    run.gangStart = {
      order,
      repeats: 0,
      isRepeatInFlight: false,
      isClosed: false,
    };
  }
  addDecision(state, {
    kind: DecisionKind.Started,
    subject: task.name,
    inputs: {
      run: run.number,
      endpoint: endpoint.info.id,
      bornAt: endpoint.bornAt,
      freeMilliCores: measureFreeCores(endpoint),
      ...describeRoom(run),
      ...describeSpeed(pass, endpoint),
    },
  });
}
