import { applyCommand } from "./commands/apply.ts";
import { cancelCommand } from "./commands/cancel.ts";
import { checkCommand } from "./commands/check.ts";
import { drainCommand } from "./commands/drain.ts";
import { dumpCommand } from "./commands/dump.ts";
import {
  jobCancelCommand,
  jobStatusCommand,
  jobSubmitCommand,
} from "./commands/job.ts";
import { evacuateCommand } from "./commands/evacuate.ts";
import { keyNewCommand } from "./commands/key_new.ts";
import { logsExplainCommand } from "./commands/logs_explain.ts";
import { logsTraceCommand } from "./commands/logs_trace.ts";
import { planCommand } from "./commands/plan.ts";
import { serveCommand } from "./commands/serve.ts";
import { statusCommand } from "./commands/status.ts";
import { submitCommand } from "./commands/submit.ts";
import type { Command } from "./types.ts";

/** All commands, in the order of the help text. */
export const COMMANDS: readonly Command[] = [
  serveCommand,
  checkCommand,
  planCommand,
  applyCommand,
  statusCommand,
  dumpCommand,
  drainCommand,
  evacuateCommand,
  keyNewCommand,
  submitCommand,
  cancelCommand,
  jobSubmitCommand,
  jobStatusCommand,
  jobCancelCommand,
  logsExplainCommand,
  logsTraceCommand,
];

/** Finds the command whose name the arguments begin with. */
export function findCommand(args: readonly string[]): Command | undefined {
  return COMMANDS.find((command) => {
    const name = command.name.split(" ");
    return name.every((word, index) => args[index] === word);
  });
}
