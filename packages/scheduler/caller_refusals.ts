import type { IncomingMessage } from "node:http";
import {
  LimitName,
  type RefusalAnswer,
  RefusalFormat,
  type RefusedRequest,
} from "../connections/mod.ts";
import type { CallerService } from "./caller_service.ts";
import type { CallerAnswer, CallerRequest } from "./types.ts";

/** Statuses of refusals that say more than that there is no room. */
const STATUS_BY_LIMIT: Partial<Record<LimitName, number>> = {
  [LimitName.BodyBytes]: 413,
  [LimitName.BodyChunks]: 413,
  [LimitName.Expectation]: 417,
};

/** What identifies a refused request to the caller service. */
export interface RefusedCall {
  request: CallerRequest;
  isSubmission: boolean;
}

/** Refusals of requests for a caller service, in the form of an HTTP interface. */
export abstract class CallerRefusals extends RefusalFormat {
  readonly #service: CallerService;

  constructor(service: CallerService) {
    super();
    this.#service = service;
  }

  override renderRefusal(
    { request, limit, detail }: RefusedRequest,
  ): RefusalAnswer {
    const call = this.readCall(request);
    const { isSubmission } = call;
    const options = { isSubmission, reason: detail };
    const answer = this.#service.refuse(call.request, options);
    const rendered = this.renderAnswer(answer);
    return { ...rendered, status: STATUS_BY_LIMIT[limit] ?? rendered.status };
  }

  /** Reads what a request asks for. */
  protected abstract readCall(request: IncomingMessage): RefusedCall;

  /** Renders an answer of the caller service. */
  protected abstract renderAnswer(answer: CallerAnswer): RefusalAnswer;
}
