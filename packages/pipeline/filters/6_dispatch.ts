import type { Outcome } from "../../base/mod.ts";
import { Filter } from "../filter.ts";
import type { RequestContext } from "../types.ts";

/** Sends the work to an owner, which queues, places and starts it. */
export class DispatchFilter extends Filter {
  override readonly name = "dispatch";

  override async apply(context: RequestContext): Promise<Outcome> {
    context.routed = {
      work: context.work!,
      maxQueued: context.queue!.max_queued,
      sentAttempts: [],
      cancelled: false,
    };
    context.onDispatched?.();
    return await this.host.route(context.routed);
  }
}
