import { randomBytes } from "node:crypto";
import { readFileSync } from "node:fs";
import { callEntry, ENTRY_HELP, ENTRY_OPTIONS } from "../entry_api.ts";
import { CommandError } from "../errors.ts";
import { requireArgument, requireOption } from "../require_option.ts";
import {
  type Command,
  type CommandInput,
  type CommandOutput,
  ExitCode,
} from "../types.ts";

const JOB_OPTIONS = { ...ENTRY_OPTIONS, queue: { type: "string" } } as const;

const JOB_HELP = ["--queue QUEUE   queue of the job", ...ENTRY_HELP];

/** Submits a stored job. */
export const jobSubmitCommand: Command = {
  name: "job submit",
  summary: "submit a stored job from a JSON file",
  usage: "baobabhead job submit FILE.json --queue QUEUE [--id ID]",
  options: { ...JOB_OPTIONS, id: { type: "string" } },
  help: [
    "--id ID         16 hexadecimal digits (default: random); use it again for a retry",
    ...JOB_HELP,
  ],
  async run(input) {
    const file = requireArgument(input, "FILE.json");
    const id = String(input.values.id ?? randomBytes(8).toString("hex"));
    const output = await callJob(input, {
      method: "PUT",
      id,
      body: readJobFile(file),
    });
    return output.code === ExitCode.Ok ? { ...output, text: id } : output;
  },
};

/** Prints the state of a stored job. */
export const jobStatusCommand: Command = {
  name: "job status",
  summary: "print the state of a stored job",
  usage: "baobabhead job status ID --queue QUEUE",
  options: JOB_OPTIONS,
  help: JOB_HELP,
  run: (input) =>
    callJob(input, { method: "GET", id: requireArgument(input, "ID") }),
};

/** Cancels a stored job. */
export const jobCancelCommand: Command = {
  name: "job cancel",
  summary: "cancel a stored job",
  usage: "baobabhead job cancel ID --queue QUEUE",
  options: JOB_OPTIONS,
  help: JOB_HELP,
  run: (input) =>
    callJob(input, { method: "DELETE", id: requireArgument(input, "ID") }),
};

async function callJob(
  input: CommandInput,
  call: { method: "GET" | "PUT" | "DELETE"; id: string; body?: unknown },
): Promise<CommandOutput> {
  const queue = encodeURIComponent(requireOption(input, "queue"));
  const { status, body } = await callEntry(input, {
    method: call.method,
    path: `/v1/queues/${queue}/jobs/${encodeURIComponent(call.id)}`,
    body: call.body,
  });
  if (status >= 300) {
    const error = JSON.stringify(body, null, 2);
    return { code: ExitCode.Failed, error, json: body };
  }
  const text = String(body.state ?? body.outcome);
  return { code: ExitCode.Ok, text, json: body };
}

function readJobFile(file: string): unknown {
  try {
    return JSON.parse(readFileSync(file, "utf8"));
  } catch (error) {
    const reason = error instanceof Error ? error.message : String(error);
    throw new CommandError(`Cannot read ${file}: ${reason}`, ExitCode.Invalid);
  }
}
