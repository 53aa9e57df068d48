import { EventCode } from "./catalogue.ts";

/** One line of a log that belongs to a request. */
export interface TraceLine {
  /** Unix milliseconds. */
  time: number;
  entry: string;
  event: number;
  text: string;
}

/** The story of one request from the logs of all entries. */
export interface Trace {
  lines: TraceLine[];
  /** Moments at which lines were left out, so that some may be missing. */
  gaps: TraceLine[];
}

const HIDDEN_FIELDS = new Set([
  "level",
  "time",
  "entry",
  "event",
  "msg",
  "subject",
]);

/**
 * Collects what the logs say of a job, in the order of time. Lines that are no
 * JSON are passed over: other programs write to the same files.
 */
export function collectTrace(id: string, logs: readonly string[]): Trace {
  const trace: Trace = { lines: [], gaps: [] };
  for (const log of logs) {
    for (const line of log.split("\n")) addLine(trace, id, { line });
  }
  const byTime = (a: TraceLine, b: TraceLine) => a.time - b.time;
  trace.lines.sort(byTime);
  const first = trace.lines.at(0)?.time ?? 0;
  const last = trace.lines.at(-1)?.time ?? 0;
  trace.gaps = trace.gaps
    .filter(({ time }) => time >= first && time <= last + 1_000)
    .sort(byTime);
  return trace;
}

/** Renders a trace, one line an event, with the time since the first. */
export function renderTrace(trace: Trace): string {
  const first = trace.lines.at(0)?.time ?? 0;
  const all = [...trace.lines, ...trace.gaps].sort((a, b) => a.time - b.time);
  return all.map(({ time, entry, event, text }) => {
    const since = `+${time - first} ms`.padStart(10);
    return `${since}  ${entry}  ${EventCode[event] ?? event}  ${text}`;
  }).join("\n");
}

function addLine(trace: Trace, id: string, input: { line: string }): void {
  const start = input.line.indexOf("{");
  const isGap = input.line.includes(`"event":${EventCode.LinesDropped}`);
  if (start < 0 || (!isGap && !input.line.includes(id))) return;
  let fields: Record<string, unknown>;
  try {
    fields = JSON.parse(input.line.slice(start));
  } catch {
    return;
  }
  const parts = Object.entries(fields)
    .filter(([name]) => !HIDDEN_FIELDS.has(name))
    .map(([name, value]) => `${name}=${JSON.stringify(value)}`);
  const line: TraceLine = {
    time: Number(fields.time),
    entry: String(fields.entry),
    event: Number(fields.event),
    text: [fields.subject ?? "", fields.msg, ...parts].join(" ").trim(),
  };
  (isGap ? trace.gaps : trace.lines).push(line);
}
