import { ENTRY_HELP, ENTRY_OPTIONS, fetchFromEntry } from "../entry_api.ts";
import { formatTable } from "../format_table.ts";
import { type Command, ExitCode } from "../types.ts";

/** Prints the state of all entries as reported by one of them. */
export const statusCommand: Command = {
  name: "status",
  summary: "show the state of all entries as reported by one of them",
  usage: "baobabhead status [--entry URL]",
  options: ENTRY_OPTIONS,
  help: ENTRY_HELP,
  async run(input) {
    const path = "/v1/admin/status";
    const body = await fetchFromEntry(input, { method: "GET", path });
    const header = [
      "entry",
      "reachable",
      "draining",
      "config",
      "endpoints",
      "free/slots",
      "waiting",
    ];
    const rows = body.entries.map(renderEntryRow);
    const store = body.platform.store ? "up" : "DOWN";
    const listState = body.platform.vmList ? "up" : "DOWN";
    const { version, accepted } = body.config;
    const text = [
      `reported by ${body.domain}/${body.vm}: store ${store}, VM list ${listState}, ` +
      `configuration ${version} (accepted ${accepted})`,
      formatTable([header, ...rows]),
    ].join("\n");
    return { code: ExitCode.Ok, text, json: body };
  },
};

// deno-lint-ignore no-explicit-any
function renderEntryRow(entry: any): string[] {
  const { load } = entry;
  return [
    `${entry.domain}/${entry.vm}`,
    entry.reachable ? "yes" : "NO",
    entry.draining ? "yes" : "no",
    `${entry.config_version}/${entry.config_accepted}`,
    String(load?.endpoints ?? "?"),
    load ? `${load.freeSlots}/${load.slots}` : "?",
    String(load?.waiting ?? "?"),
  ];
}
