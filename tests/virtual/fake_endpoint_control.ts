import { NotSentError, UnknownEffectError } from "../../packages/base/mod.ts";
import {
  PaceResult,
  StartResult,
  StopResult,
} from "../../packages/cell/mod.ts";
import { EndKind } from "../../packages/jobs/mod.ts";
import {
  EndpointControl,
  type EndpointTarget,
  type PaceAnswer,
  type PollAnswer,
  type PollRequest,
  PollResult,
  type StartAnswer,
  type StartRequest,
  type StopAnswer,
} from "../../packages/scheduler/mod.ts";
import type { FakeEndpoint, FakeRun } from "../cell/fake_endpoint.ts";
import type { OwnerSite } from "./owner_site.ts";
import type { ProcessClock } from "./virtual_time.ts";

const ONE_WAY_DELAY_MS = 2;

/** Shortest and longest delay of an order that is carried out late, in ms. */
const LATE_ORDER_MS = { min: 2_000, max: 12_000 };

/** Connection of one entry to the fake endpoints, with faults of its own. */
export class FakeEndpointControl extends EndpointControl {
  readonly #site: OwnerSite;
  readonly #clock: ProcessClock;
  /** Ids of the endpoints that this entry cannot reach. */
  readonly unreachableEndpoints = new Set<string>();

  constructor(site: OwnerSite, clock: ProcessClock) {
    super();
    this.#site = site;
    this.#clock = clock;
  }

  override async start(
    target: EndpointTarget,
    order: StartRequest,
    options: { timeoutMs: number },
  ): Promise<StartAnswer> {
    const run: FakeRun = {
      task: order.task,
      run: order.run,
      endpoint: target.id,
      demand: this.#site.getDemand(order.task),
      endsAt: 0,
      endKind: EndKind.Done,
      pace: 100,
    };
    let clockMs: number | undefined;
    const result = await this.#send(target, options, (fakeEndpoint, now) => {
      clockMs = fakeEndpoint.readClock(now);
      run.endsAt = now + this.#site.drawRunTime();
      run.endKind = this.#site.drawEndKind();
      const { fence, leaseUntil } = order;
      const started = fakeEndpoint.start({ run, fence, leaseUntil }, now);
      if (fakeEndpoint.runs.get(run.task) === run) {
        this.#site.recordStart(fakeEndpoint, run);
      }
      return started;
    }).catch(() => StartResult.Unknown);
    return { result, detail: "", clockMs };
  }

  override async stop(
    target: EndpointTarget,
    order: { task: string; run: number; fence: number },
    options: { timeoutMs: number },
  ): Promise<StopAnswer> {
    const result = await this.#send(
      target,
      options,
      (fakeEndpoint, now) => fakeEndpoint.stop(order, now),
    ).catch(() => StopResult.Unknown);
    return { result, detail: "" };
  }

  override async setPace(
    target: EndpointTarget,
    order: { task: string; run: number; percent: number; fence: number },
    options: { timeoutMs: number },
  ): Promise<PaceAnswer> {
    const result = await this.#send(
      target,
      options,
      (fakeEndpoint) => fakeEndpoint.setPace(order),
    ).catch(() => PaceResult.Unknown);
    return { result, detail: "" };
  }

  override async poll(
    target: EndpointTarget,
    order: PollRequest,
    options: { timeoutMs: number },
  ): Promise<PollAnswer> {
    const listing = await this.#send(target, options, (fakeEndpoint, now) => {
      return fakeEndpoint.hold(order, now) ?? null;
    });
    if (!listing) return { kind: PollResult.Deposed };
    // A real poll waits for a task to end. Here the listing is taken at the
    // start of the wait.
    await this.#clock.sleep(Math.min(order.waitMs, 100));
    return { kind: PollResult.Listed, listing };
  }

  override async close(): Promise<void> {}

  /** Delivers an order, whose answer may be lost or which may arrive late. */
  async #send<T>(
    target: EndpointTarget,
    options: { timeoutMs: number },
    handle: (fakeEndpoint: FakeEndpoint, now: number) => T,
  ): Promise<T> {
    await this.#clock.sleep(ONE_WAY_DELAY_MS);
    const fakeEndpoint = this.#site.endpoints.get(target.id);
    if (!fakeEndpoint || this.unreachableEndpoints.has(target.id)) {
      await this.#clock.sleep(options.timeoutMs);
      throw new NotSentError("Cannot connect");
    }
    const { time } = this.#site;
    const delivery = this.#site.drawDelivery();
    if (delivery === "late") {
      const { min, max } = LATE_ORDER_MS;
      const delayMs = min + this.#site.random.drawInt(max - min);
      time.schedule("world", delayMs, () => {
        handle(fakeEndpoint, time.now);
      });
    }
    const answer = delivery === "late"
      ? undefined
      : handle(fakeEndpoint, time.now);
    if (delivery !== "answered" || answer === undefined) {
      await this.#clock.sleep(options.timeoutMs);
      throw new UnknownEffectError("no answer");
    }
    await this.#clock.sleep(ONE_WAY_DELAY_MS);
    return answer;
  }
}
