import os from "node:os";
import {
  callEntry,
  ENTRY_HELP,
  ENTRY_OPTIONS,
  fetchFromEntry,
} from "../entry_api.ts";
import { CommandError } from "../errors.ts";
import { requireArgument } from "../require_option.ts";
import { type Command, type CommandOutput, ExitCode } from "../types.ts";
import { readConfiguration } from "./check.ts";

/** Applies a configuration directory as a single change. */
export const applyCommand: Command = {
  name: "apply",
  summary: "apply a configuration directory as a single change",
  usage: "baobabhead apply DIRECTORY [--base VERSION] [--author NAME]",
  options: {
    ...ENTRY_OPTIONS,
    base: { type: "string" },
    author: { type: "string" },
  },
  help: [
    "--base VERSION   version that `plan` compared with (default: the " +
    "current version)",
    "--author NAME    author of the change (default: the login name)",
    ...ENTRY_HELP,
  ],
  async run(input) {
    const directory = requireArgument(input, "DIRECTORY");
    const { teams, keys, queues } = readConfiguration(directory);
    const base = await findBaseVersion(input);
    const author = String(input.values.author ?? os.userInfo().username);
    const answer = await callEntry(input, {
      method: "POST",
      path: "/v1/admin/config",
      body: {
        base,
        author,
        configuration: { team: teams, key: keys, queue: queues },
      },
    });
    return describeAnswer(answer.status, answer.body);
  },
};

async function findBaseVersion(
  input: Parameters<Command["run"]>[0],
): Promise<number> {
  if (input.values.base !== undefined) {
    const base = Number(input.values.base);
    if (Number.isSafeInteger(base) && base >= 0) return base;
    throw new CommandError(
      "--base must be a version number",
      ExitCode.Usage,
    );
  }
  const body = await fetchFromEntry(input, {
    method: "GET",
    path: "/v1/admin/config",
  });
  return body.head.version;
}

function describeAnswer(
  status: number,
  // deno-lint-ignore no-explicit-any
  body: any,
): CommandOutput {
  if (status === 409) {
    const error = `${body.error}. Run \`baobabhead plan\` again`;
    return { code: ExitCode.Conflict, error, json: body };
  }
  if (status !== 200) {
    return { code: ExitCode.Failed, error: body.error, json: body };
  }
  const summary = `version ${body.version}, ${body.changes} changes`;
  if (body.accepted && body.missing.length === 0) {
    const text = `accepted and in force on every entry: ${summary}`;
    return { code: ExitCode.Ok, text, json: body };
  }
  const state = body.accepted ? "accepted" : "staged, not yet accepted";
  const consequence = body.accepted
    ? "they adopt it when they are reachable again"
    : "the other entries apply its restrictions; its grants wait for these entries";
  const names = body.missing.map((name: string) => `  ${name}`).join("\n");
  const error =
    `${state}: ${summary}. Not confirmed by:\n${names}\n${consequence}`;
  return { code: ExitCode.Partial, error, json: body };
}
