import { match } from "ts-pattern";
import { sleep } from "../standins/http_server.ts";
import type { LinkRule } from "../standins/relay.ts";
import type { TaskCrash } from "../standins/task_crash.ts";
import { HEARTBEAT_MS, STOP_GRACE_MS } from "./constants.ts";
import {
  LinkPair,
  MAX_DELAY_MS,
  OWNER,
  PRESS_LEAD_MS,
  type SoakFault,
  SoakFaultKind,
} from "./schedule.ts";
import type { SoakSite } from "./soak_site.ts";
import { type SoakEvent, SoakEventKind } from "./types.ts";

/** Kinds that disturb no program, so that all promises hold beside them. */
const HARMLESS_KINDS = new Set([
  SoakFaultKind.Reload,
  SoakFaultKind.ChangeConfig,
  SoakFaultKind.WithdrawKey,
  SoakFaultKind.CrashingJob,
  SoakFaultKind.RoomChange,
]);
/** Latest time of a crash after the start of the task that causes it, in ms. */
const MAX_CRASH_AFTER_MS = 10;
/** Smallest room of an endpoint, as a fraction of its usual one. */
const LEAST_ROOM = 0.25;
/** Largest room of an endpoint that has shrunk. */
const MOST_SHRUNK_ROOM = 0.75;

/** What the injector needs of a run. */
export interface InjectorParts {
  site: SoakSite;
  onEvent: (event: SoakEvent) => void;
  /** Writes a configuration; with `isNewKey`, with a new key only. */
  applyConfig: (options: { isNewKey: boolean }) => void;
  /** Lets a caller submit a job whose tasks crash endpoints. */
  submitCrashingJob: (crash: TaskCrash) => Promise<void>;
}

/** Injects one fault; resolves when it has ended. */
export async function injectFault(
  parts: InjectorParts,
  fault: SoakFault,
): Promise<void> {
  const { site, onEvent } = parts;
  const { leadMs = 0 } = fault;
  const entryNumber = fault.entry === OWNER ? site.findOwner() : fault.entry;
  if (!HARMLESS_KINDS.has(fault.kind)) {
    const isStop = fault.kind === SoakFaultKind.PlannedStop;
    const at = Date.now();
    onEvent({
      kind: SoakEventKind.Fault,
      at,
      endsAt: at + leadMs + fault.lastsMs + fault.delayMs +
        (isStop ? PRESS_LEAD_MS + STOP_GRACE_MS : 0),
      fault: fault.kind,
      stoppedEntry: isStop ? entryNumber : -1,
    });
  }
  await sleep(leadMs);
  await carryOut(parts, fault, { entryNumber });
}

async function carryOut(
  { site, applyConfig, submitCrashingJob }: InjectorParts,
  fault: SoakFault,
  { entryNumber }: { entryNumber: number },
): Promise<void> {
  const { lastsMs, delayMs } = fault;
  const { store } = site;
  const entry = site.entries[entryNumber];
  const endpoint = site.endpoints[fault.other % site.endpoints.length];
  await match(fault.kind)
    .with(SoakFaultKind.Kill, async () => {
      await entry.kill();
      await sleep(delayMs);
      entry.start();
    })
    .with(SoakFaultKind.PlannedStop, async () => {
      await sleep(PRESS_LEAD_MS);
      await entry.stop();
      await sleep(delayMs);
      entry.start();
    })
    .with(SoakFaultKind.Pause, async () => {
      entry.signal("SIGSTOP");
      await sleep(lastsMs);
      entry.signal("SIGCONT");
    })
    .with(SoakFaultKind.Reload, () => {
      entry.writeSettings(delayMs % 2 === 0 ? "debug" : "info");
      entry.signal("SIGHUP");
    })
    .with(SoakFaultKind.Link, async () => {
      const link = locateLink(site, fault, entryNumber);
      // Orders that are carried out late have a fault of their own, which keeps
      // to the platform's longest delay.
      const losesHeld = fault.pair === LinkPair.EntryEndpoint;
      const rule: LinkRule = {
        ...link,
        fault: fault.link,
        delayMs,
        losesHeld,
      };
      site.addRule(rule);
      await sleep(lastsMs);
      site.removeRule(rule);
    })
    .with(SoakFaultKind.ResetLink, () => {
      const { source, target } = locateLink(site, fault, entryNumber);
      site.relay.resetConnections(source, target);
    })
    .with(SoakFaultKind.StoreDown, async () => {
      store.isDown = true;
      await sleep(lastsMs);
      store.isDown = false;
    })
    .with(SoakFaultKind.StoreSlow, async () => {
      store.delayMs = delayMs;
      await sleep(lastsMs);
      store.delayMs = 0;
    })
    .with(SoakFaultKind.StoreRefuses, async () => {
      store.refusedSources.add(entry.place.host);
      await sleep(lastsMs);
      store.refusedSources.delete(entry.place.host);
    })
    .with(SoakFaultKind.StoreLosesAnswers, async () => {
      store.losesAnswers = true;
      await sleep(lastsMs);
      store.losesAnswers = false;
    })
    .with(SoakFaultKind.StoreLate, async () => {
      store.commitDelayMs = delayMs;
      await sleep(lastsMs);
      store.commitDelayMs = 0;
    })
    .with(SoakFaultKind.EndpointCrash, async () => {
      site.crashEndpoint(endpoint);
      await sleep(delayMs);
      await site.restartEndpoint(endpoint);
    })
    .with(SoakFaultKind.EndpointLate, async () => {
      endpoint.lateMs = delayMs;
      await sleep(lastsMs);
      endpoint.lateMs = 0;
      await sleep(delayMs);
    })
    .with(SoakFaultKind.EndpointStall, async () => {
      endpoint.isStalled = true;
      await sleep(lastsMs);
      endpoint.isStalled = false;
    })
    .with(SoakFaultKind.CrashingJob, () =>
      submitCrashingJob({
        isAnswered: delayMs % 2 === 0,
        afterMs: delayMs % MAX_CRASH_AFTER_MS,
      }))
    .with(SoakFaultKind.RoomChange, async () => {
      const range = MOST_SHRUNK_ROOM - LEAST_ROOM;
      const fraction = LEAST_ROOM + range * delayMs / MAX_DELAY_MS;
      const recordDelayMs = delayMs % HEARTBEAT_MS;
      await site.changeRoom(endpoint, { fraction, recordDelayMs });
      await sleep(lastsMs);
      await site.changeRoom(endpoint, { fraction: 1, recordDelayMs });
    })
    .with(SoakFaultKind.ChangeConfig, () => applyConfig({ isNewKey: false }))
    .with(SoakFaultKind.WithdrawKey, () => applyConfig({ isNewKey: true }))
    .exhaustive();
}

/** Locates the link of a fault; only the owner has links from other entries. */
function locateLink(
  site: SoakSite,
  fault: SoakFault,
  entryNumber: number,
): { source: string; target: string } {
  const getHost = (number: number) => site.entries[number].place.host;
  const owner = site.findOwner();
  const count = site.entries.length;
  const source = entryNumber === owner ? (owner + 1) % count : entryNumber;
  const endpoint = fault.other % site.endpoints.length;
  return match(fault.pair)
    .with(LinkPair.EntryEntry, () => ({
      source: getHost(source),
      target: getHost(owner),
    }))
    .with(LinkPair.EntryStore, () => ({
      source: getHost(entryNumber),
      target: site.platformHost,
    }))
    .with(LinkPair.EntryEndpoint, () => ({
      source: getHost(owner),
      target: site.getEndpointHost(endpoint),
    }))
    .with(LinkPair.CallerEntry, () => ({
      source: site.callerPrefix,
      target: getHost(entryNumber),
    }))
    .exhaustive();
}
