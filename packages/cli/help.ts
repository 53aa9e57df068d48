import { COMMANDS } from "./registry.ts";
import { type Command, ExitCode } from "./types.ts";

const EXIT_CODE_MEANINGS: Record<ExitCode, string> = {
  [ExitCode.Ok]: "done",
  [ExitCode.Failed]: "failed",
  [ExitCode.Usage]: "the command line is invalid",
  [ExitCode.Invalid]: "files or input are invalid",
  [ExitCode.Conflict]: "another change was applied first",
  [ExitCode.Partial]: "partly done: not every entry has confirmed",
  [ExitCode.Unreachable]: "the entry cannot be reached or rejects the key",
};

/** Renders the help of the program: commands and exit codes. */
export function renderHelp(): string {
  const width = Math.max(...COMMANDS.map((command) => command.name.length));
  return [
    "baobabhead: a cluster scheduler for services, batch work and gangs",
    "",
    "Usage: baobabhead COMMAND [OPTIONS]",
    "",
    ...COMMANDS.map((command) =>
      `  ${command.name.padEnd(width)}  ${command.summary}`
    ),
    "",
    "`baobabhead COMMAND --help` shows the options of a command.",
    "`--json` prints the result as one JSON document.",
    "",
    renderExitCodes(),
  ].join("\n");
}

/** Renders the help of a command: usage, options and exit codes. */
export function renderCommandHelp(command: Command): string {
  return [
    `${command.usage}`,
    "",
    `  ${command.summary}`,
    "",
    ...command.help.map((line) => `  ${line}`),
    "  --json   print the result as one JSON document",
    "",
    renderExitCodes(),
  ].join("\n");
}

function renderExitCodes(): string {
  const lines = Object.entries(EXIT_CODE_MEANINGS).map(([code, meaning]) =>
    `  ${code}  ${meaning}`
  );
  return ["Exit codes:", ...lines].join("\n");
}
