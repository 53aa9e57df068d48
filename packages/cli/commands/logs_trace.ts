import { readFileSync } from "node:fs";
import { collectTrace, renderTrace } from "../../events/mod.ts";
import { requireArgument } from "../require_option.ts";
import { type Command, ExitCode } from "../types.ts";

/** Prints the log lines about a job or request, from all entries' logs. */
export const logsTraceCommand: Command = {
  name: "logs trace",
  summary: "print the log lines about a job or request, sorted by time",
  usage: "baobabhead logs trace ID FILE...",
  options: {},
  help: [
    "FILE...   log files of all entries; an omitted file leaves gaps in the output",
  ],
  run(input) {
    const id = requireArgument(input, "ID");
    const files = input.positionals.slice(1);
    if (files.length === 0) {
      const error = "Cannot trace: name at least one log file";
      return { code: ExitCode.Usage, error };
    }
    const logs = files.map((file) => readFileSync(file, "utf8"));
    const trace = collectTrace(id, logs);
    if (trace.lines.length === 0) {
      const error = `Cannot find ${id} in ${files.length} files`;
      return { code: ExitCode.Failed, error };
    }
    return { code: ExitCode.Ok, text: renderTrace(trace), json: trace };
  },
};
