import { BaobabheadError } from "../base/mod.ts";

/** A peer answered with an error: it decided, and did nothing. */
export class PeerRefusedError extends BaobabheadError {
  readonly code: number;

  constructor(message: string, code: number) {
    super(message);
    this.code = code;
  }
}
