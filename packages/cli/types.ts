import type { ParseArgsConfig } from "node:util";

/** Exit codes of the command line. */
export enum ExitCode {
  Ok = 0,
  /** The command was understood but failed. */
  Failed = 1,
  /** The command line is invalid. */
  Usage = 2,
  /** Files or input are invalid. */
  Invalid = 3,
  /** Another change was applied first. */
  Conflict = 4,
  /** Partly done: not every entry has confirmed. */
  Partial = 5,
  /** The entry cannot be reached or rejects the key. */
  Unreachable = 6,
}

/** Parsed options and positional arguments of a command line. */
export interface CommandInput {
  values: Record<string, string | boolean | undefined>;
  positionals: string[];
}

/** Output and exit code of a command. */
export interface CommandOutput {
  code: ExitCode;
  /** Human-readable text for standard output. */
  text?: string;
  /** Value that `--json` prints instead of `text`. */
  json?: unknown;
  /** Text for standard error. */
  error?: string;
}

/** A command of the `baobabhead` program. */
export interface Command {
  /** Words that select the command, for example `key new`. */
  name: string;
  summary: string;
  usage: string;
  options: NonNullable<ParseArgsConfig["options"]>;
  /** Help lines, usually one for each option. */
  help: string[];
  run(input: CommandInput): Promise<CommandOutput> | CommandOutput;
}
