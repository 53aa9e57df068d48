import { parseArgs } from "node:util";
import { SettingsError } from "../settings/mod.ts";
import { CommandError } from "./errors.ts";
import { renderCommandHelp, renderHelp } from "./help.ts";
import { findCommand } from "./registry.ts";
import {
  type Command,
  type CommandInput,
  type CommandOutput,
  ExitCode,
} from "./types.ts";

/** Runs a command line; errors become part of the output and exit code. */
export async function runCommandLine(
  args: readonly string[],
): Promise<CommandOutput> {
  const command = findCommand(args);
  if (!command) return describeMissingCommand(args);
  const commandArgs = args.slice(command.name.split(" ").length);
  let input: CommandInput;
  try {
    input = parseInput(command, commandArgs);
  } catch (error) {
    const message = error instanceof Error ? error.message : String(error);
    const hint = `See \`baobabhead ${command.name} --help\`.`;
    return { code: ExitCode.Usage, error: `${message}\n${hint}` };
  }
  if (input.values.help) {
    return { code: ExitCode.Ok, text: renderCommandHelp(command) };
  }
  const output = await runCommand(command, input);
  return input.values.json ? renderJson(output) : output;
}

function parseInput(command: Command, args: readonly string[]): CommandInput {
  const { values, positionals } = parseArgs({
    args: [...args],
    options: {
      ...command.options,
      help: { type: "boolean", short: "h" },
      json: { type: "boolean" },
    },
    allowPositionals: true,
  });
  return { values: values as CommandInput["values"], positionals };
}

async function runCommand(
  command: Command,
  input: CommandInput,
): Promise<CommandOutput> {
  try {
    return await command.run(input);
  } catch (error) {
    if (error instanceof CommandError) {
      return { code: error.code, error: error.message };
    }
    if (error instanceof SettingsError) {
      return { code: ExitCode.Invalid, error: error.message };
    }
    const message = error instanceof Error ? error.message : String(error);
    return { code: ExitCode.Failed, error: message };
  }
}

function renderJson(output: CommandOutput): CommandOutput {
  const value = output.json ?? { error: output.error };
  return { code: output.code, text: JSON.stringify(value) };
}

/** Returns the help if the arguments ask for it, otherwise an error. */
function describeMissingCommand(args: readonly string[]): CommandOutput {
  const isHelp = args.length > 0 && ["--help", "-h", "help"].includes(args[0]);
  if (isHelp) return { code: ExitCode.Ok, text: renderHelp() };
  const problem = args.length === 0
    ? "Missing command"
    : `Cannot find command ${args[0]}`;
  return { code: ExitCode.Usage, error: `${problem}\n\n${renderHelp()}` };
}
