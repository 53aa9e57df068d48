/** How a task crashes each endpoint that starts it. */
export interface TaskCrash {
  /** The endpoint answers the start before it crashes. */
  isAnswered: boolean;
  /** Time from the start to the crash, in milliseconds. */
  afterMs: number;
}

const MARKER = /crash (answered|unanswered) after (\d+) ms/;

/** Formats the marker of a payload whose tasks crash endpoints. */
export function formatTaskCrash({ isAnswered, afterMs }: TaskCrash): string {
  return `crash ${isAnswered ? "answered" : "unanswered"} after ${afterMs} ms`;
}

/** Parses the marker of a payload; `undefined` if its tasks crash nothing. */
export function parseTaskCrash(payload: string): TaskCrash | undefined {
  const match = MARKER.exec(payload);
  if (!match) return undefined;
  return { isAnswered: match[1] === "answered", afterMs: Number(match[2]) };
}
