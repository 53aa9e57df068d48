import type { Outcome } from "../base/mod.ts";
import type { PipelineHost, RequestContext } from "./types.ts";

/** One step of a request's path. */
export abstract class Filter {
  /** Name in metrics. */
  abstract readonly name: string;
  protected readonly host: PipelineHost;

  constructor(host: PipelineHost) {
    this.host = host;
  }

  /**
   * Lets a request pass by returning nothing, or ends it with an outcome.
   * `now` is in milliseconds since the Unix epoch.
   */
  abstract apply(
    context: RequestContext,
    now: number,
  ): Promise<Outcome | undefined> | Outcome | undefined;
}
