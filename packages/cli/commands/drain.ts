import { ENTRY_HELP, ENTRY_OPTIONS, fetchFromEntry } from "../entry_api.ts";
import { type Command, ExitCode } from "../types.ts";

/** Drains an entry. */
export const drainCommand: Command = {
  name: "drain",
  summary: "let an entry finish its work, hand over its endpoints and stop",
  usage: "baobabhead drain --entry URL",
  options: ENTRY_OPTIONS,
  help: ENTRY_HELP,
  async run(input) {
    const path = "/v1/admin/drain";
    const body = await fetchFromEntry(input, { method: "POST", path });
    const text = "draining; the process stops when nothing is in flight";
    return { code: ExitCode.Ok, text, json: body };
  },
};
