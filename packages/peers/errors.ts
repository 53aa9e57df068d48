import { BaobabheadError } from "../base/mod.ts";

/** A peer refused a call; the call had no effect. */
export class PeerRefusedError extends BaobabheadError {
  readonly code: number;

  constructor(message: string, code: number) {
    super(message);
    this.code = code;
  }
}
