import { explainEvent } from "../../events/mod.ts";
import { requireArgument } from "../require_option.ts";
import { type Command, ExitCode } from "../types.ts";

/** Explains the log event with a given number. */
export const logsExplainCommand: Command = {
  name: "logs explain",
  summary: "explain the log event with a given number",
  usage: "baobabhead logs explain NUMBER",
  options: {},
  help: [],
  run(input) {
    const code = Number(requireArgument(input, "NUMBER"));
    const text = explainEvent(code);
    if (text) return { code: ExitCode.Ok, text, json: { code, text } };
    const error = `Cannot find event ${input.positionals[0]}; ` +
      "docs/EVENTS.md lists all events";
    return { code: ExitCode.Failed, error };
  },
};
