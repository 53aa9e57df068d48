import { CommandError } from "./errors.ts";
import { type CommandInput, ExitCode } from "./types.ts";

/**
 * Returns the value of an option.
 *
 * @throws {CommandError} when the option is missing
 */
export function requireOption(input: CommandInput, name: string): string {
  const value = input.values[name];
  if (typeof value === "string" && value !== "") return value;
  throw new CommandError(`Cannot go on without --${name}`, ExitCode.Usage);
}

/**
 * Returns the first argument that is not an option.
 *
 * @throws {CommandError} when there is none
 */
export function requireArgument(input: CommandInput, name: string): string {
  const [value] = input.positionals;
  if (value) return value;
  throw new CommandError(`Cannot go on without ${name}`, ExitCode.Usage);
}
