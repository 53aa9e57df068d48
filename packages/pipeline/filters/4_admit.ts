import type { Outcome } from "../../base/mod.ts";
import { Filter } from "../filter.ts";
import type { RequestContext } from "../types.ts";

/** Refuses work while this entry drains or is not ready. */
export class AdmitFilter extends Filter {
  override readonly name = "admit";

  override apply(
    _context: RequestContext,
    now: number,
  ): Outcome | undefined {
    return this.host.checkAdmission(now);
  }
}
