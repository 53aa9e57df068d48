import type { EvacuationReport } from "../../evacuation/mod.ts";
import { ENTRY_HELP, ENTRY_OPTIONS, fetchFromEntry } from "../entry_api.ts";
import { CommandError } from "../errors.ts";
import { formatTable } from "../format_table.ts";
import {
  type Command,
  type CommandInput,
  type CommandOutput,
  ExitCode,
} from "../types.ts";

const PATH = "/v1/evacuations";

/** Requests, withdraws and lists evacuations of failure domains. */
export const evacuateCommand: Command = {
  name: "evacuate",
  summary: "start nothing more in a failure domain, or list evacuations",
  usage: "baobabhead evacuate [DOMAIN [--cancel]] [--entry URL]",
  options: { ...ENTRY_OPTIONS, cancel: { type: "boolean" } },
  help: [
    "--cancel      withdraw the request: tasks are started in DOMAIN again",
    "Without DOMAIN: lists the evacuated domains with the runs that are still there.",
    ...ENTRY_HELP,
  ],
  async run(input) {
    const [domain] = input.positionals;
    if (domain) return await changeRequest(input, domain);
    if (input.values.cancel) {
      throw new CommandError(
        "Missing required argument DOMAIN",
        ExitCode.Usage,
      );
    }
    const body = await fetchFromEntry(input, { method: "GET", path: PATH });
    return {
      code: ExitCode.Ok,
      text: renderReports(body.evacuations),
      json: body,
    };
  },
};

async function changeRequest(
  input: CommandInput,
  domain: string,
): Promise<CommandOutput> {
  const body = await fetchFromEntry(input, {
    method: input.values.cancel ? "DELETE" : "PUT",
    path: `${PATH}/${encodeURIComponent(domain)}`,
  });
  if (body.state === "requested_by_platform") {
    const error = `${domain} is still evacuated: the platform requests it too`;
    return { code: ExitCode.Partial, error, json: body };
  }
  return { code: ExitCode.Ok, text: `${domain}: ${body.state}`, json: body };
}

function renderReports(reports: readonly EvacuationReport[]): string {
  if (reports.length === 0) return "no failure domain is evacuated";
  const header = [
    "domain",
    "requested by",
    "for",
    "starts",
    "endpoints",
    "runs",
  ];
  const rows = reports.map((report) => [
    report.domain,
    report.sources.join(", "),
    `${Math.round(report.ageMs / 1_000)} s`,
    report.isEffective ? "none" : "may still arrive",
    String(report.endpoints),
    String(report.runs.length + report.unlocated),
  ]);
  const runs = reports.flatMap(({ domain, runs }) =>
    runs.map(({ task, run, endpoint, phase, verdict }) => [
      domain,
      endpoint,
      `${task} (run ${run})`,
      phase,
      verdict ?? "",
    ])
  );
  const tables = [formatTable([header, ...rows])];
  if (runs.length > 0) {
    const runHeader = ["domain", "endpoint", "task", "phase", "why"];
    tables.push(formatTable([runHeader, ...runs]));
  }
  return tables.join("\n\n");
}
