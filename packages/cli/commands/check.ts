import { existsSync, statSync } from "node:fs";
import {
  checkDirectory,
  type Configuration,
  formatIssue,
} from "../../config/mod.ts";
import { readSettings, SettingsError } from "../../settings/mod.ts";
import { CommandError } from "../errors.ts";
import { requireArgument } from "../require_option.ts";
import { type Command, type CommandOutput, ExitCode } from "../types.ts";

/** Checks a configuration directory or a settings file. */
export const checkCommand: Command = {
  name: "check",
  summary: "check a configuration directory or a settings file",
  usage: "baobabhead check DIRECTORY | FILE.ini",
  options: {},
  help: ["prints every error as file:line: key: reason"],
  run(input) {
    const path = requireArgument(input, "DIRECTORY or FILE.ini");
    if (!existsSync(path)) {
      throw new CommandError(
        `Cannot find ${path}; name an existing directory or file`,
        ExitCode.Invalid,
      );
    }
    return statSync(path).isDirectory()
      ? checkConfiguration(path)
      : checkSettings(path);
  },
};

/**
 * Reads a configuration directory.
 *
 * @throws {CommandError} when the directory cannot be read, or with all errors
 *   of an invalid configuration
 */
export function readConfiguration(directory: string): Configuration {
  if (!existsSync(directory) || !statSync(directory).isDirectory()) {
    throw new CommandError(
      `Cannot read ${directory}; name a directory with INI files`,
      ExitCode.Invalid,
    );
  }
  const { configuration, issues } = checkDirectory(directory);
  if (configuration) return configuration;
  throw new CommandError(
    issues.map(formatIssue).join("\n"),
    ExitCode.Invalid,
  );
}

function checkConfiguration(directory: string): CommandOutput {
  const { configuration, issues } = checkDirectory(directory);
  if (!configuration) return describeIssues(issues);
  const counts = {
    teams: Object.keys(configuration.teams).length,
    keys: Object.keys(configuration.keys).length,
    queues: Object.keys(configuration.queues).length,
  };
  return {
    code: ExitCode.Ok,
    text: `ok: ${counts.teams} teams, ${counts.keys} keys, ` +
      `${counts.queues} queues`,
    json: { ok: true, ...counts },
  };
}

function checkSettings(file: string): CommandOutput {
  try {
    readSettings(file);
    return {
      code: ExitCode.Ok,
      text: "ok: the settings are valid",
      json: { ok: true },
    };
  } catch (error) {
    if (error instanceof SettingsError) return describeIssues(error.issues);
    throw error;
  }
}

function describeIssues(
  issues: Parameters<typeof formatIssue>[0][],
): CommandOutput {
  return {
    code: ExitCode.Invalid,
    error: issues.map(formatIssue).join("\n"),
    json: { ok: false, issues },
  };
}
