import { CommandError } from "./errors.ts";
import { type CommandInput, ExitCode } from "./types.ts";

/**
 * Returns the value of a required option.
 *
 * @throws {CommandError} when the option is missing or empty
 */
export function requireOption(input: CommandInput, name: string): string {
  const value = input.values[name];
  if (typeof value === "string" && value !== "") return value;
  throw new CommandError(`Missing required option --${name}`, ExitCode.Usage);
}

/**
 * Returns the first positional argument; `name` appears in the error.
 *
 * @throws {CommandError} when there is no positional argument
 */
export function requireArgument(input: CommandInput, name: string): string {
  const [value] = input.positionals;
  if (value) return value;
  throw new CommandError(`Missing required argument ${name}`, ExitCode.Usage);
}
