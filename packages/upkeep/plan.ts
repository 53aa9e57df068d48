import {
  MAX_PATIENCE_MS,
  MIN_PATIENCE_MS,
  ORDER_RETRY_MS,
  PLANNED_PART,
  USUAL_UPKEEP_MS,
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
 * Makes a wave. `begun`: VMs whose upkeep a former owner may have ordered, with
 * the endpoints that they ran before.
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
      since: options.now,
      formerEndpoint: formerEndpoint ?? "",
      isCallUnderWay: false,
      retryAt: 0,
    }];
  });
  return { request, upkeeps: new Map(upkeeps) };
}

/** Lists the VMs that a wave has under way. */
export function listBusy(wave: Wave): string[] {
  return [...wave.upkeeps.values()].filter(isUnderWay).map(({ vm }) => vm);
}

/** Lists what has to last: VMs that may have begun, with former endpoints. */
export function collectBegun(wave: Wave): Record<string, string> {
  const begun: Record<string, string> = {};
  for (const { vm, phase, formerEndpoint } of wave.upkeeps.values()) {
    const hasNotBegun = phase === UpkeepPhase.Waiting ||
      phase === UpkeepPhase.Emptying;
    if (!hasNotBegun) begun[vm] = formerEndpoint;
  }
  return begun;
}

/** Moves a wave on and says what is to be done for it. */
export function planWave(wave: Wave, view: WaveView): WavePlan {
  const plan: WavePlan = {
    close: [],
    stop: [],
    record: [],
    order: [],
    isCompleted: false,
    isOver: false,
  };
  for (const upkeep of wave.upkeeps.values()) finishGone(upkeep, view);
  beginEmptying(wave, view);
  const patienceMs = computePatience(wave.request);
  for (const upkeep of wave.upkeeps.values()) {
    if (isUnderWay(upkeep)) plan.close.push(upkeep.formerEndpoint);
    if (upkeep.phase === UpkeepPhase.Emptying) {
      if (view.isEmpty(upkeep.formerEndpoint)) {
        setPhase(upkeep, { phase: UpkeepPhase.Recording, now: view.now });
      } else if (view.now - upkeep.since >= patienceMs) {
        plan.stop.push(upkeep.formerEndpoint);
      }
    }
    if (upkeep.isCallUnderWay) continue;
    if (upkeep.phase === UpkeepPhase.Recording) plan.record.push(upkeep);
    const isDue = view.now >= upkeep.retryAt;
    if (upkeep.phase === UpkeepPhase.Ordered && isDue) plan.order.push(upkeep);
  }
  const phases = [...wave.upkeeps.values()].map(({ phase }) => phase);
  plan.isOver = phases.every((phase) => phase === UpkeepPhase.Done);
  plan.isCompleted = phases.every((phase) =>
    phase === UpkeepPhase.Begun || phase === UpkeepPhase.Done
  );
  return plan;
}

/** The store holds that these upkeeps may begin. */
export function noteRecorded(upkeeps: VmUpkeep[], now: number): void {
  for (const upkeep of upkeeps) {
    if (upkeep.phase === UpkeepPhase.Recording) {
      setPhase(upkeep, { phase: UpkeepPhase.Ordered, now });
    }
  }
}

/** Applies the platform's answer to an order. */
export function applyUpkeepAnswer(
  upkeep: VmUpkeep,
  { result, now }: { result: UpkeepResult; now: number },
): void {
  upkeep.isCallUnderWay = false;
  upkeep.retryAt = now + ORDER_RETRY_MS;
  if (upkeep.phase !== UpkeepPhase.Ordered) return;
  if (result === UpkeepResult.Begun) {
    setPhase(upkeep, { phase: UpkeepPhase.Begun, now });
  }
  if (result === UpkeepResult.NotPartOf) {
    setPhase(upkeep, { phase: UpkeepPhase.Done, now });
  }
}

/** Computes how long runs may take to end before they are stopped, in ms. */
export function computePatience(request: WaveRequest): number {
  const rounds = Math.ceil(request.vms.length / Math.max(1, request.maxDown));
  const roundMs = request.durationMs * PLANNED_PART / Math.max(1, rounds);
  const patienceMs = roundMs - USUAL_UPKEEP_MS;
  return Math.min(MAX_PATIENCE_MS, Math.max(MIN_PATIENCE_MS, patienceMs));
}

/**
 * What the platform no longer lists has left; what is up again is done. Only a
 * list that was asked for since the last step of an upkeep tells.
 */
function finishGone(upkeep: VmUpkeep, view: WaveView): void {
  if (upkeep.phase === UpkeepPhase.Done || upkeep.isCallUnderWay) return;
  if (view.listedAt <= upkeep.since) return;
  const vm = view.vms.get(upkeep.vm);
  const isBack = upkeep.phase === UpkeepPhase.Begun && vm?.isUp === true &&
    vm.endpoint !== upkeep.formerEndpoint;
  if (!vm || isBack) {
    setPhase(upkeep, { phase: UpkeepPhase.Done, now: view.now });
  }
}

function beginEmptying(wave: Wave, view: WaveView): void {
  const all = [...wave.upkeeps.values()];
  let free = wave.request.maxDown - all.filter(isUnderWay).length;
  for (const upkeep of all) {
    if (free <= 0) return;
    const vm = view.vms.get(upkeep.vm);
    const isOpen = upkeep.phase === UpkeepPhase.Waiting && vm?.isUp === true &&
      !view.busy.has(upkeep.vm);
    if (!isOpen) continue;
    upkeep.formerEndpoint = vm.endpoint;
    setPhase(upkeep, { phase: UpkeepPhase.Emptying, now: view.now });
    free--;
  }
}

function isUnderWay({ phase }: VmUpkeep): boolean {
  return phase !== UpkeepPhase.Waiting && phase !== UpkeepPhase.Done;
}

function setPhase(
  upkeep: VmUpkeep,
  change: { phase: UpkeepPhase; now: number },
): void {
  upkeep.phase = change.phase;
  upkeep.since = change.now;
}
