import type { ParseArgsConfig } from "node:util";

/** Exit codes of the command line. */
export enum ExitCode {
  Ok = 0,
  /** The command was understood but failed. */
  Failed = 1,
  /** The command line itself is wrong. */
  Usage = 2,
  /** Files or input have faults. */
  Invalid = 3,
  /** Another change came first. */
  Conflict = 4,
  /** Done in part: not every entry has confirmed. */
  Partial = 5,
  /** An entry cannot be reached or does not accept the key. */
  Unreachable = 6,
}

/** Parsed arguments of one call. */
export interface CommandInput {
  values: Record<string, string | boolean | undefined>;
  positionals: string[];
}

/** What a command prints and returns. */
export interface CommandOutput {
  code: ExitCode;
  /** Lines for a person. */
  text?: string;
  /** The same for a machine, with `--json`. */
  json?: unknown;
  /** Lines for standard error. */
  error?: string;
}

/** One registered command. */
export interface Command {
  /** Words that call the command, for example `key new`. */
  name: string;
  summary: string;
  usage: string;
  options: NonNullable<ParseArgsConfig["options"]>;
  /** One line for each option. */
  help: string[];
  run(input: CommandInput): Promise<CommandOutput> | CommandOutput;
}
