import {
  ChangeKind,
  type ConfigChange,
  diffItems,
  splitConfiguration,
} from "../../config/mod.ts";
import { ENTRY_HELP, ENTRY_OPTIONS, fetchFromEntry } from "../entry_api.ts";
import { requireArgument } from "../require_option.ts";
import { type Command, ExitCode } from "../types.ts";
import { readConfiguration } from "./check.ts";

/** Prints the changes that `apply` would make. */
export const planCommand: Command = {
  name: "plan",
  summary: "show the changes that `apply` would make, and their base version",
  usage: "baobabhead plan DIRECTORY [--entry URL]",
  options: ENTRY_OPTIONS,
  help: ENTRY_HELP,
  async run(input) {
    const directory = requireArgument(input, "DIRECTORY");
    const items = splitConfiguration(readConfiguration(directory));
    const body = await fetchFromEntry(input, {
      method: "GET",
      path: "/v1/admin/config",
    });
    const changes = diffItems(body.newest, items);
    const lines = changes.map(renderChange);
    lines.push(
      `${changes.length} changes against version ${body.head.version}`,
    );
    return {
      code: ExitCode.Ok,
      text: lines.join("\n"),
      json: { base: body.head.version, changes },
    };
  },
};

const CHANGE_SIGNS: Record<ChangeKind, string> = {
  [ChangeKind.Added]: "+",
  [ChangeKind.Changed]: "~",
  [ChangeKind.Removed]: "-",
};

function renderChange(change: ConfigChange): string {
  const values = [change.before, change.after].filter((value) => value);
  return `${CHANGE_SIGNS[change.kind]} ${change.item} ${values.join(" -> ")}`;
}
