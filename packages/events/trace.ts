import { EventCode } from "./catalogue.ts";

/** One log line of a trace. */
export interface TraceLine {
  /** Milliseconds since the Unix epoch. */
  time: number;
  entry: string;
  event: number;
  text: string;
}

/** Log lines about one job or request, merged from the logs of all entries. */
export interface Trace {
  lines: TraceLine[];
  /**
   * Reports of lines dropped by the rate limit within the time of the trace;
   * lines of the trace may be among them.
   */
  gaps: TraceLine[];
}

/** Fields that are not rendered as `name=value`. */
const HIDDEN_FIELDS = new Set([
  "level",
  "time",
  "entry",
  "event",
  "msg",
  "subject",
]);

/**
 * Collects the log lines that contain an id, sorted by time. Lines that are not
 * JSON are ignored, because other programs write to the same files.
 */
export function collectTrace(id: string, logs: readonly string[]): Trace {
  const trace: Trace = { lines: [], gaps: [] };
  for (const log of logs) {
    for (const line of log.split("\n")) addLine(trace, id, { line });
  }
  const compareTime = (a: TraceLine, b: TraceLine) => a.time - b.time;
  trace.lines.sort(compareTime);
  const firstTime = trace.lines.at(0)?.time ?? 0;
  const lastTime = trace.lines.at(-1)?.time ?? 0;
  // Dropped lines are reported once the one-second window has ended.
  trace.gaps = trace.gaps
    .filter(({ time }) => time >= firstTime && time <= lastTime + 1_000)
    .sort(compareTime);
  return trace;
}

/** Renders a trace, one event per line, with the time since the first line. */
export function renderTrace(trace: Trace): string {
  const firstTime = trace.lines.at(0)?.time ?? 0;
  const sortedLines = [...trace.lines, ...trace.gaps].sort((a, b) =>
    a.time - b.time
  );
  return sortedLines.map(({ time, entry, event, text }) => {
    const elapsed = `+${time - firstTime} ms`.padStart(10);
    return `${elapsed}  ${entry}  ${EventCode[event] ?? event}  ${text}`;
  }).join("\n");
}

function addLine(trace: Trace, id: string, input: { line: string }): void {
  const jsonStart = input.line.indexOf("{");
  const isDropReport = input.line.includes(`"event":${EventCode.LinesDropped}`);
  if (jsonStart < 0 || (!isDropReport && !input.line.includes(id))) return;
  let fields: Record<string, unknown>;
  try {
    fields = JSON.parse(input.line.slice(jsonStart));
  } catch {
    return;
  }
  const renderedFields = Object.entries(fields)
    .filter(([name]) => !HIDDEN_FIELDS.has(name))
    .map(([name, value]) => `${name}=${JSON.stringify(value)}`);
  const line: TraceLine = {
    time: Number(fields.time),
    entry: String(fields.entry),
    event: Number(fields.event),
    text: [fields.subject ?? "", fields.msg, ...renderedFields].join(" ")
      .trim(),
  };
  (isDropReport ? trace.gaps : trace.lines).push(line);
}
