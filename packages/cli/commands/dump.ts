import { ENTRY_HELP, ENTRY_OPTIONS, fetchFromEntry } from "../entry_api.ts";
import { type Command, ExitCode } from "../types.ts";

/** Prints the complete state of an entry. */
export const dumpCommand: Command = {
  name: "dump",
  summary: "print the complete state of an entry as JSON",
  usage: "baobabhead dump [--entry URL]",
  options: ENTRY_OPTIONS,
  help: ENTRY_HELP,
  async run(input) {
    const path = "/v1/admin/dump";
    const body = await fetchFromEntry(input, { method: "GET", path });
    const text = JSON.stringify(body, null, 2);
    return { code: ExitCode.Ok, text, json: body };
  },
};
