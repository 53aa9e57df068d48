import { NotSentError, UnknownEffectError } from "../../packages/base/mod.ts";
import {
  type EndpointListing,
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

/** Listing of a fake endpoint; null: it has seen a higher fencing token. */
type PollOutcome = EndpointListing | PollResult.Replaced | null;

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
    const result = await this.#send(target, {
      ...options,
      otherEndpoint: StartResult.OtherLifetime,
    }, (fakeEndpoint, { now, lateMs }) => {
      if (!this.#site.canUseTicket(order, fakeEndpoint)) {
        return StartResult.TicketExpired;
      }
      run.endsAt = now + this.#site.drawRunTime();
      run.endKind = this.#site.drawEndKind();
      const { fence } = order;
      const leaseUntil = order.leaseUntil + this.#computeLateGrant(lateMs);
      const started = fakeEndpoint.start({ run, fence, leaseUntil }, now);
      if (fakeEndpoint.runs.get(run.task) === run) {
        this.#site.recordStart(fakeEndpoint, run, { isLate: lateMs > 0 });
      }
      return started;
    }).catch(() => StartResult.Unknown);
    return { result, detail: "" };
  }

  override async stop(
    target: EndpointTarget,
    order: { task: string; run: number; fence: number },
    options: { timeoutMs: number },
  ): Promise<StopAnswer> {
    const result = await this.#send(
      target,
      { ...options, otherEndpoint: StopResult.OtherLifetime },
      (fakeEndpoint, { now }) => fakeEndpoint.stop(order, now),
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
      { ...options, otherEndpoint: PaceResult.Refused },
      (fakeEndpoint) => fakeEndpoint.setPace(order),
    ).catch(() => PaceResult.Unknown);
    return { result, detail: "" };
  }

  override async poll(
    target: EndpointTarget,
    order: PollRequest,
    options: { timeoutMs: number },
  ): Promise<PollAnswer> {
    const listing = await this.#send<PollOutcome>(target, {
      ...options,
      otherEndpoint: PollResult.Replaced,
    }, (fakeEndpoint, { now, lateMs }) => {
      const leaseUntil = order.leaseUntil &&
        order.leaseUntil + this.#computeLateGrant(lateMs);
      return fakeEndpoint.hold({ ...order, leaseUntil }, now) ?? null;
    });
    if (!listing) return { kind: PollResult.Deposed };
    if (listing === PollResult.Replaced) return { kind: listing };
    // A real poll waits for a task to end. Here the listing is taken at the
    // start of the wait.
    await this.#clock.sleep(Math.min(order.waitMs, 100));
    return { kind: PollResult.Listed, listing };
  }

  override async close(): Promise<void> {}

  /** Computes by how much a late order extends its lease, in milliseconds. */
  #computeLateGrant(lateMs: number): number {
    return this.#site.hasLateGrants ? lateMs : 0;
  }

  /**
   * Delivers an order, whose answer may be lost or which may arrive late.
   * `otherEndpoint`: the answer of an endpoint that the order does not name.
   */
  async #send<T>(
    target: EndpointTarget,
    options: { timeoutMs: number; otherEndpoint: T },
    handle: (
      fakeEndpoint: FakeEndpoint,
      times: { now: number; lateMs: number },
    ) => T,
  ): Promise<T> {
    const { time } = this.#site;
    await this.#clock.sleep(ONE_WAY_DELAY_MS);
    const fakeEndpoint = this.#site.findEndpoint(target);
    if (!fakeEndpoint || this.#isCutOff(target)) {
      await this.#clock.sleep(options.timeoutMs);
      throw new NotSentError("Cannot connect");
    }
    if (!this.#site.isUp(fakeEndpoint)) {
      await this.#clock.sleep(ONE_WAY_DELAY_MS);
      throw new NotSentError("connection refused");
    }
    const carryOut = (addressee: FakeEndpoint, lateMs: number) =>
      addressee.id === target.id
        ? handle(addressee, { now: time.now, lateMs })
        : options.otherEndpoint;
    const delivery = this.#site.drawDelivery(fakeEndpoint);
    if (delivery === "late") {
      const { min, max } = LATE_ORDER_MS;
      const delayMs = min + this.#site.random.drawInt(max - min);
      time.schedule("world", delayMs, () => {
        const addressee = this.#site.findEndpoint(target);
        if (!addressee || !this.#site.isUp(addressee)) return;
        carryOut(addressee, delayMs);
      });
    }
    const answer = delivery === "late" ? undefined : carryOut(fakeEndpoint, 0);
    if (!this.#site.isUp(fakeEndpoint)) {
      await this.#clock.sleep(ONE_WAY_DELAY_MS);
      throw new UnknownEffectError("connection reset");
    }
    if (delivery !== "answered" || answer === undefined) {
      await this.#clock.sleep(options.timeoutMs);
      throw new UnknownEffectError("no answer");
    }
    await this.#clock.sleep(ONE_WAY_DELAY_MS);
    return answer;
  }

  #isCutOff({ id, address }: EndpointTarget): boolean {
    return this.unreachableEndpoints.has(id) ||
      this.unreachableEndpoints.has(address);
  }
}
