import { type Random, SeededRandom } from "../../packages/base/mod.ts";
import { LinkFault } from "../standins/relay.ts";

/** Faults that the soak injects; links fail as `LinkFault` says. */
export enum SoakFaultKind {
  Kill = "kill",
  PlannedStop = "planned_stop",
  Pause = "pause",
  Reload = "reload",
  Link = "link",
  ResetLink = "reset_link",
  StoreDown = "store_down",
  StoreSlow = "store_slow",
  StoreRefuses = "store_refuses",
  StoreLosesAnswers = "store_loses_answers",
  StoreLate = "store_late",
  EndpointCrash = "endpoint_crash",
  EndpointLate = "endpoint_late",
  EndpointStall = "endpoint_stall",
  ChangeConfig = "change_config",
  WithdrawKey = "withdraw_key",
  /** A caller submits a job whose tasks crash each endpoint that starts them. */
  CrashingJob = "crashing_job",
  /** The room of an endpoint shrinks, and grows again. */
  RoomChange = "room_change",
}

/** Pairs of programs whose connections can fail. */
export enum LinkPair {
  EntryEntry = "entry_entry",
  EntryStore = "entry_store",
  EntryEndpoint = "entry_endpoint",
  CallerEntry = "caller_entry",
}

/** A fault of the schedule. */
export interface SoakFault {
  kind: SoakFaultKind;
  /** Time after the start of the load, in milliseconds. */
  atMs: number;
  lastsMs: number;
  /** Entry that the fault applies to; `OWNER` means the cell's owner. */
  entry: number;
  /** Another entry, or an endpoint, depending on the kind. */
  other: number;
  pair: LinkPair;
  link: LinkFault;
  /** Delay, in milliseconds, of faults that delay something. */
  delayMs: number;
  /** Time from the choice of the entry to the fault, in ms; 0 if omitted. */
  leadMs?: number;
}

/** Size of the site and time in which faults begin, in milliseconds. */
export interface ScheduleSite {
  entries: number;
  endpoints: number;
  durationMs: number;
}

/** Time for callers to open connections before a planned stop, in ms. */
export const PRESS_LEAD_MS = 500;

/** Longest delay of faults other than late orders, in milliseconds. */
export const MAX_DELAY_MS = 1_550;

/** Stands for the entry that owns the cell when the fault begins. */
export const OWNER = -1;

/** Time without faults at the start of the load, in milliseconds. */
const CALM_START_MS = 3_500;
/** Longest pause between the faults of one series, in milliseconds. */
const SERIES_GAP_MS = 1_500;
/** Largest number of faults in one series. */
const MAX_SERIES = 5;
/** Longest pause between two series, in milliseconds. */
const MAX_PAUSE_MS = 6_000;
const MAX_FAULT_MS = 8_000;
const WARM_UP_DRAWS = 50;
const MIN_DELAY_MS = 50;
/**
 * The platform carries out late orders after 2 to 12 s; the delay of a link may
 * come on top.
 */
const LATE_ORDER_RANGE_MS = [2_000, 12_000 - MAX_DELAY_MS];
/** Share of the faults of entries that apply to the owner. */
const OWNER_RATIO = 0.4;
/** Share of the series that are signals to entries which overlap. */
const SIGNALS_RATIO = 0.25;
/** Time in which the signals of such a series are sent, in milliseconds. */
const SIGNALS_MS = 3_500;
/** Share of the seeds that begin with a planned stop and nothing beside it. */
const CALM_STOP_RATIO = 0.5;

const KINDS = [
  ...Object.values(SoakFaultKind),
  SoakFaultKind.CrashingJob,
  SoakFaultKind.RoomChange,
  // Each kind of fault of a link is as likely as another fault.
  ...Object.values(LinkFault).map(() => SoakFaultKind.Link),
];

/** Creates a generator; the first numbers of neighbouring seeds are unlike. */
export function createRandom(seed: number): Random {
  const random = new SeededRandom(seed);
  for (let n = 0; n < WARM_UP_DRAWS; n++) random.drawFloat();
  return random;
}

/** Draws the faults of one seed, in the order of their times. */
export function drawFaults(seed: number, site: ScheduleSite): SoakFault[] {
  const random = createRandom(seed);
  const faults: SoakFault[] = [];
  let atMs = CALM_START_MS;
  if (random.drawFloat() < CALM_STOP_RATIO) {
    const stop = drawFault(random, site, atMs);
    faults.push({ ...stop, kind: SoakFaultKind.PlannedStop, lastsMs: 500 });
    atMs += MAX_PAUSE_MS;
  }
  while (atMs < site.durationMs) {
    const isSignals = random.drawFloat() < SIGNALS_RATIO;
    const signals = isSignals ? drawSignals(random, site, atMs) : [];
    faults.push(...signals);
    const count = 1 + random.drawInt(MAX_SERIES);
    for (let n = 0; n < count && atMs < site.durationMs; n++) {
      faults.push(drawFault(random, site, atMs));
      atMs += random.drawInt(SERIES_GAP_MS);
    }
    atMs += random.drawInt(MAX_PAUSE_MS);
  }
  return faults.sort((a, b) => a.atMs - b.atMs);
}

/** Draws signals that reach an entry, or two, while others are being handled. */
function drawSignals(
  random: Random,
  site: ScheduleSite,
  atMs: number,
): SoakFault[] {
  const fault = drawFault(random, site, atMs);
  const stop = { ...fault, kind: SoakFaultKind.PlannedStop, lastsMs: 0 };
  const drawAt = () =>
    Math.min(site.durationMs, atMs + random.drawInt(SIGNALS_MS / 2));
  const drawLead = () => PRESS_LEAD_MS + random.drawInt(SIGNALS_MS);
  const reload = { ...stop, kind: SoakFaultKind.Reload };
  const series: SoakFault[][] = [
    // A reload before and after SIGTERM, while a configuration changes.
    [
      { ...stop, kind: SoakFaultKind.ChangeConfig, atMs: drawAt() },
      { ...reload, leadMs: random.drawInt(PRESS_LEAD_MS) },
      { ...reload, leadMs: drawLead() },
      stop,
    ],
    // Two stops at once.
    [stop, { ...stop, entry: random.drawInt(site.entries), atMs: drawAt() }],
    // A kill during a planned stop.
    [stop, { ...stop, kind: SoakFaultKind.Kill, leadMs: drawLead() }],
    // A pause during a planned stop, or SIGTERM during a pause.
    [stop, {
      ...fault,
      kind: SoakFaultKind.Pause,
      lastsMs: Math.min(fault.lastsMs, SIGNALS_MS),
      leadMs: random.drawInt(SIGNALS_MS),
    }],
  ];
  return series[random.drawInt(series.length)];
}

function drawFault(
  random: Random,
  site: ScheduleSite,
  atMs: number,
): SoakFault {
  const kind = KINDS[random.drawInt(KINDS.length)];
  const pairs = Object.values(LinkPair);
  const links = Object.values(LinkFault);
  const [leastLateMs, mostLateMs] = LATE_ORDER_RANGE_MS;
  const isOwner = random.drawFloat() < OWNER_RATIO;
  const entry = random.drawInt(site.entries);
  const delayMs = kind === SoakFaultKind.EndpointLate
    ? leastLateMs + random.drawInt(mostLateMs - leastLateMs)
    : MIN_DELAY_MS + random.drawInt(MAX_DELAY_MS - MIN_DELAY_MS);
  const lastsMs = 300 + random.drawInt(MAX_FAULT_MS - 300);
  return {
    kind,
    atMs,
    lastsMs: Math.min(lastsMs, Math.max(0, site.durationMs - atMs)),
    entry: isOwner ? OWNER : entry,
    other: random.drawInt(Math.max(site.entries, site.endpoints)),
    pair: pairs[random.drawInt(pairs.length)],
    link: links[random.drawInt(links.length)],
    delayMs,
  };
}

/** Renders a fault as one line of a time line. */
export function describeFault(fault: SoakFault): string {
  const { kind, atMs, lastsMs, other, pair, link, delayMs } = fault;
  const entry = fault.entry === OWNER ? "owner" : `entry ${fault.entry}`;
  const detail = kind === SoakFaultKind.Link || kind === SoakFaultKind.ResetLink
    ? `${pair} ${kind === SoakFaultKind.Link ? link : "reset"}`
    : kind;
  return `${(atMs / 1_000).toFixed(2)} s ${detail}: ${entry}, other ${other},` +
    ` ${lastsMs} ms, delay ${delayMs} ms`;
}
