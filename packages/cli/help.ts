import { COMMANDS } from "./registry.ts";
import { type Command, ExitCode } from "./types.ts";

const EXIT_CODES: Record<ExitCode, string> = {
  [ExitCode.Ok]: "done",
  [ExitCode.Failed]: "failed",
  [ExitCode.Usage]: "the command line is wrong",
  [ExitCode.Invalid]: "files or input have faults",
  [ExitCode.Conflict]: "another change came first",
  [ExitCode.Partial]: "done in part; not every entry has confirmed",
  [ExitCode.Unreachable]: "an entry cannot be reached or refuses the key",
};

/** Renders the help of the whole program. */
export function renderHelp(): string {
  const width = Math.max(...COMMANDS.map((command) => command.name.length));
  return [
    "baobabhead: a cluster scheduler for unlike workloads",
    "",
    "Usage: baobabhead COMMAND [OPTIONS]",
    "",
    ...COMMANDS.map((command) =>
      `  ${command.name.padEnd(width)}  ${command.summary}`
    ),
    "",
    "`baobabhead COMMAND --help` shows the options of a command.",
    "--json prints one JSON document for a machine.",
    "",
    renderExitCodes(),
  ].join("\n");
}

/** Renders the help of one command. */
export function renderCommandHelp(command: Command): string {
  return [
    `${command.usage}`,
    "",
    `  ${command.summary}`,
    "",
    ...command.help.map((line) => `  ${line}`),
    "  --json   print one JSON document",
    "",
    renderExitCodes(),
  ].join("\n");
}

function renderExitCodes(): string {
  const lines = Object.entries(EXIT_CODES).map(([code, text]) =>
    `  ${code}  ${text}`
  );
  return ["Exit codes:", ...lines].join("\n");
}
