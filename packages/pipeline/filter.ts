import type { Outcome } from "../base/mod.ts";
import type { PipelineHost, RequestContext } from "./types.ts";

/** One step of the request pipeline. */
export abstract class Filter {
  /** Value of the `filter` label in metrics. */
  abstract readonly name: string;
  protected readonly host: PipelineHost;

  constructor(host: PipelineHost) {
    this.host = host;
  }

  /**
   * Returns the outcome that ends the request, or undefined to pass it to the
   * next filter. `now` is in milliseconds since the Unix epoch.
   */
  abstract apply(
    context: RequestContext,
    now: number,
  ): Promise<Outcome | undefined> | Outcome | undefined;
}
