import {
  EXPECTED_UPKEEP_MS,
  MAX_DRAIN_MS,
  MIN_DRAIN_MS,
  ORDER_RETRY_MS,
  PLANNED_SHARE,
} from "./constants.ts";
import {
  UpkeepPhase,
  UpkeepResult,
  type VmUpkeep,
  type Wave,
  type WavePlan,
  type WaveRequest,
  type WaveView,
} from "./types.ts";

/**
 * Creates the state of a wave. `begun` maps each VM whose upkeep a former owner
 * may have ordered to the endpoint that ran there before.
 */
export function makeWave(
  request: WaveRequest,
  options: { begun: Record<string, string>; now: number },
): Wave {
  const upkeeps = request.vms.map((vm): [string, VmUpkeep] => {
    const formerEndpoint = options.begun[vm];
    const isOrdered = formerEndpoint !== undefined;
    return [vm, {
      vm,
      phase: isOrdered ? UpkeepPhase.Ordered : UpkeepPhase.Waiting,
      phaseBeganAt: options.now,
      formerEndpoint: formerEndpoint ?? "",
      isCallInFlight: false,
      retryAt: 0,
    }];
  });
  return { request, upkeeps: new Map(upkeeps) };
}

/** Lists the VMs whose upkeep is in progress, draining included. */
export function listInProgress(wave: Wave): string[] {
  return [...wave.upkeeps.values()].filter(isInProgress).map(({ vm }) => vm);
}

/**
 * Collects the VMs whose upkeep may have begun, each with the endpoint that ran
 * there before. The host writes this record to the store for the next owner.
 */
export function collectBegun(wave: Wave): Record<string, string> {
  const begun: Record<string, string> = {};
  for (const { vm, phase, formerEndpoint } of wave.upkeeps.values()) {
    const isBeforeRecording = phase === UpkeepPhase.Waiting ||
      phase === UpkeepPhase.Draining;
    if (!isBeforeRecording) begun[vm] = formerEndpoint;
  }
  return begun;
}

/** Advances a wave and returns the actions that its host must carry out. */
export function planWave(wave: Wave, view: WaveView): WavePlan {
  const plan: WavePlan = {
    cordonedEndpoints: [],
    endpointsToStop: [],
    upkeepsToRecord: [],
    upkeepsToOrder: [],
    isCompleted: false,
    isOver: false,
  };
  for (const upkeep of wave.upkeeps.values()) finishIfDone(upkeep, view);
  beginDraining(wave, view);
  const drainTimeoutMs = computeDrainTimeout(wave.request);
  for (const upkeep of wave.upkeeps.values()) {
    if (isInProgress(upkeep)) {
      plan.cordonedEndpoints.push(upkeep.formerEndpoint);
    }
    // A former owner may have recorded an upkeep, and work may have been started since.
    const isDraining = upkeep.phase === UpkeepPhase.Draining ||
      upkeep.phase === UpkeepPhase.Ordered;
    const isDown = view.vms.get(upkeep.vm)?.isUp === false;
    const isEmpty = isDown || view.isEmpty(upkeep.formerEndpoint);
    const isOverdue = view.now - upkeep.phaseBeganAt >= drainTimeoutMs;
    if (isDraining && !isEmpty && isOverdue) {
      plan.endpointsToStop.push(upkeep.formerEndpoint);
    }
    if (upkeep.phase === UpkeepPhase.Draining && isEmpty) {
      setPhase(upkeep, { phase: UpkeepPhase.Recording, now: view.now });
    }
    if (upkeep.isCallInFlight) continue;
    if (upkeep.phase === UpkeepPhase.Recording) {
      plan.upkeepsToRecord.push(upkeep);
    }
    const isDue = view.now >= upkeep.retryAt;
    if (upkeep.phase === UpkeepPhase.Ordered && isDue && isEmpty) {
      plan.upkeepsToOrder.push(upkeep);
    }
  }
  const phases = [...wave.upkeeps.values()].map(({ phase }) => phase);
  plan.isOver = phases.every((phase) => phase === UpkeepPhase.Done);
  plan.isCompleted = phases.every((phase) =>
    phase === UpkeepPhase.Begun || phase === UpkeepPhase.Done
  );
  return plan;
}

/**
 * Marks upkeeps as recorded in the store, so that the next plan orders them.
 */
export function confirmRecorded(upkeeps: VmUpkeep[], now: number): void {
  for (const upkeep of upkeeps) {
    if (upkeep.phase === UpkeepPhase.Recording) {
      setPhase(upkeep, { phase: UpkeepPhase.Ordered, now });
    }
  }
}

/** Applies the platform's answer to an upkeep order. */
export function applyUpkeepAnswer(
  upkeep: VmUpkeep,
  { result, now }: { result: UpkeepResult; now: number },
): void {
  upkeep.isCallInFlight = false;
  upkeep.retryAt = now + ORDER_RETRY_MS;
  if (upkeep.phase !== UpkeepPhase.Ordered) return;
  if (result === UpkeepResult.Begun) {
    setPhase(upkeep, { phase: UpkeepPhase.Begun, now });
  }
  if (result === UpkeepResult.NotPartOf) {
    setPhase(upkeep, { phase: UpkeepPhase.Done, now });
  }
}

/**
 * Computes how long an endpoint may drain before its runs are stopped, in ms:
 * the time per batch of VMs minus the expected duration of an upkeep, within
 * fixed limits.
 */
export function computeDrainTimeout(request: WaveRequest): number {
  const batches = Math.ceil(request.vms.length / Math.max(1, request.maxDown));
  const batchMs = request.durationMs * PLANNED_SHARE / Math.max(1, batches);
  const drainMs = batchMs - EXPECTED_UPKEEP_MS;
  return Math.min(MAX_DRAIN_MS, Math.max(MIN_DRAIN_MS, drainMs));
}

/**
 * Finishes the upkeep of a VM that the platform no longer lists, or that is up again:
 * with a new endpoint, or, as an endpoint may keep its id, after the time that an
 * upkeep takes. A list of VMs that was requested before the last change of phase is
 * stale and is ignored.
 */
function finishIfDone(upkeep: VmUpkeep, view: WaveView): void {
  if (upkeep.phase === UpkeepPhase.Done || upkeep.isCallInFlight) return;
  if (view.listRequestedAt <= upkeep.phaseBeganAt) return;
  const vm = view.vms.get(upkeep.vm);
  const listedAfterMs = view.listRequestedAt - upkeep.phaseBeganAt;
  const hasRestarted = upkeep.phase === UpkeepPhase.Begun &&
    vm?.isUp === true &&
    (vm.endpoint !== upkeep.formerEndpoint ||
      listedAfterMs >= EXPECTED_UPKEEP_MS);
  if (!vm || hasRestarted) {
    setPhase(upkeep, { phase: UpkeepPhase.Done, now: view.now });
  }
}

function beginDraining(wave: Wave, view: WaveView): void {
  const vmUpkeeps = [...wave.upkeeps.values()];
  let downBudget = wave.request.maxDown - vmUpkeeps.filter(isInProgress).length;
  for (const upkeep of vmUpkeeps) {
    if (downBudget <= 0) return;
    const vm = view.vms.get(upkeep.vm);
    const canBegin = upkeep.phase === UpkeepPhase.Waiting &&
      vm?.isUp === true &&
      !view.busyElsewhere.has(upkeep.vm);
    if (!canBegin) continue;
    upkeep.formerEndpoint = vm.endpoint;
    setPhase(upkeep, { phase: UpkeepPhase.Draining, now: view.now });
    downBudget--;
  }
}

function isInProgress({ phase }: VmUpkeep): boolean {
  return phase !== UpkeepPhase.Waiting && phase !== UpkeepPhase.Done;
}

function setPhase(
  upkeep: VmUpkeep,
  change: { phase: UpkeepPhase; now: number },
): void {
  upkeep.phase = change.phase;
  upkeep.phaseBeganAt = change.now;
}
