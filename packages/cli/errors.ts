import { BaobabheadError } from "../base/mod.ts";
import { ExitCode } from "./types.ts";

/** Failure of a command, with the exit code of the process. */
export class CommandError extends BaobabheadError {
  readonly code: ExitCode;

  constructor(message: string, code: ExitCode) {
    super(message);
    this.code = code;
  }
}
