import { callEntry, ENTRY_HELP, ENTRY_OPTIONS } from "../entry_api.ts";
import { requireArgument } from "../require_option.ts";
import { type Command, ExitCode } from "../types.ts";

/** Cancels a piece of work or stops a service. */
export const cancelCommand: Command = {
  name: "cancel",
  summary: "cancel a piece of work or stop a service",
  usage: "baobabhead cancel WORK-ID",
  options: ENTRY_OPTIONS,
  help: ENTRY_HELP,
  async run(input) {
    const id = encodeURIComponent(requireArgument(input, "WORK-ID"));
    const path = `/v1/work/${id}`;
    const answer = await callEntry(input, { method: "DELETE", path });
    const { body } = answer;
    const text = JSON.stringify(body, null, 2);
    // The outcome of the work may have any status; a body without an outcome or a
    // state says that the call failed.
    if (body?.verdict === undefined && body?.state === undefined) {
      return { code: ExitCode.Failed, error: text, json: body };
    }
    return { code: ExitCode.Ok, text, json: body };
  },
};
