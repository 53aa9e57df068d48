import { BaobabheadError } from "../base/mod.ts";
import { ExitCode } from "./types.ts";

/** A command that cannot go on; carries its exit code. */
export class CommandError extends BaobabheadError {
  readonly code: ExitCode;

  constructor(message: string, code: ExitCode) {
    super(message);
    this.code = code;
  }
}
