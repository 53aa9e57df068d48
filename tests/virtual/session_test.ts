import test from "ava";
import { type Clock } from "../../packages/base/mod.ts";
import {
  type Endpoint,
  findLeaseEnd,
  ListingExtent,
  makeEndpoint,
  OwnerFence,
  PaceResult,
  type Run,
  RunPhase,
  StartResult,
  StopResult,
} from "../../packages/cell/mod.ts";
import {
  EndpointControl,
  EndpointSession,
  type PaceAnswer,
  type PollAnswer,
  type PollRequest,
  PollResult,
  SessionHost,
  type StartAnswer,
  type StopAnswer,
} from "../../packages/scheduler/mod.ts";
import { NotSentError } from "../../packages/base/mod.ts";
import {
  LEASE_RENEWAL_MS,
  MAX_POLL_INTERVAL_MS,
} from "../../packages/scheduler/constants.ts";
import { computePollInterval } from "../../packages/scheduler/loop_monitor.ts";
import { ProcessClock, VirtualTime } from "./virtual_time.ts";

const LEASE_MS = 6_000;

/** Control of an endpoint that answers polls while it is reachable. */
class FakeEndpointControl extends EndpointControl {
  isReachable = true;
  /** Runs end so fast that each poll is answered soon. */
  hasManyEnds = false;
  /** Answers to polls at this address come from another endpoint. */
  replacedAddress = "";
  readonly polls: PollRequest[] = [];
  /** Timeout of each poll, in milliseconds. */
  readonly timeouts: number[] = [];
  readonly #clock: Clock;

  constructor(clock: Clock) {
    super();
    this.#clock = clock;
  }

  override start(): Promise<StartAnswer> {
    return Promise.resolve({ result: StartResult.Started, detail: "" });
  }

  override stop(): Promise<StopAnswer> {
    return Promise.resolve({ result: StopResult.Acknowledged, detail: "" });
  }

  override setPace(): Promise<PaceAnswer> {
    return Promise.resolve({ result: PaceResult.Acknowledged, detail: "" });
  }

  override async poll(
    target: { address: string },
    request: PollRequest,
    { timeoutMs }: { timeoutMs: number },
  ): Promise<PollAnswer> {
    this.polls.push(request);
    this.timeouts.push(timeoutMs);
    const waitMs = this.hasManyEnds ? 10 : request.waitMs;
    await this.#clock.sleep(this.isReachable ? waitMs : 600);
    if (!this.isReachable) throw new NotSentError("Cannot connect");
    if (target.address === this.replacedAddress) {
      await this.#clock.sleep(200);
      return { kind: PollResult.Replaced };
    }
    return {
      kind: PollResult.Listed,
      listing: {
        bornAt: 1,
        clockMs: 0,
        running: [],
        ended: [],
        extent: ListingExtent.Whole,
      },
    };
  }

  override close(): Promise<void> {
    return Promise.resolve();
  }
}

/** Session host that counts failed polls and can forbid lease renewals. */
class FakeSessionHost extends SessionHost {
  mayRenewLeases = true;
  failedPolls = 0;

  override mayOrder(): boolean {
    return this.mayRenewLeases;
  }

  replacements = 0;
  pollIntervalMs = 100;

  override getPollInterval(): number {
    return this.pollIntervalMs;
  }

  override handlePollAnswer(
    endpoint: Endpoint,
    { answer }: { answer: PollAnswer },
  ): void {
    if (answer.kind === PollResult.Replaced) {
      this.replacements++;
      return;
    }
    endpoint.hasAcceptedFence = true;
    endpoint.bornAt = 1;
  }

  override handlePollFailure(): void {
    this.failedPolls++;
  }
}

function startSession() {
  const time = new VirtualTime();
  const clock = new ProcessClock(time, "owner");
  const control = new FakeEndpointControl(clock);
  const host = new FakeSessionHost();
  const demand = { milliCores: 1, memoryMb: 1, accelerators: 0 };
  const endpoint = makeEndpoint({
    id: "e0",
    address: "10.0.0.1:1",
    service: "desk",
    domain: "a",
    labels: [],
    rack: "",
    capacity: demand,
    isDraining: false,
    bornAt: 0,
  });
  const fence = new OwnerFence(1);
  const session = new EndpointSession({
    endpoint,
    control,
    clock,
    host,
    fence,
    leaseMs: LEASE_MS,
  });
  const addRun = (overrides: Partial<Run> = {}) => {
    endpoint.runs.set("a.0.0.0", {
      task: "a.0.0.0",
      number: 1,
      endpoint,
      demand,
      charge: demand,
      organisation: "",
      phase: RunPhase.Running,
      lastChangedAt: 0,
      startedAt: 0,
      isStopAcknowledged: false,
      isLifetimeKnown: true,
      sentToBornAt: 0,
      sentFence: 0,
      startMayArriveUntil: 0,
      startSettledAt: 0,
      unlistedLeaseEndsAt: 0,
      hasTicket: false,
      isStopOrderInFlight: false,
      percent: 0,
      progressAt: 0,
      pace: 100,
      isPaceOrderInFlight: false,
      gauge: 0,
      ...overrides,
    });
    session.checkNow();
  };
  void session.run();
  return { time, control, host, endpoint, session, fence, addRun };
}

test("failed polls do not extend the end of the lease", async (t) => {
  // If failed polls extended the lease, the tasks of an unreachable endpoint
  // would never restart elsewhere.
  const { time, control, endpoint, addRun } = startSession();
  await time.advance(200);
  addRun();
  await time.advance(3_000);
  control.isReachable = false;
  await time.advance(2_500);
  const endsAt = findLeaseEnd(endpoint);
  await time.advance(10_000);
  t.is(findLeaseEnd(endpoint), endsAt);
  t.true(endsAt < time.now);
  t.is(control.polls.at(-1)?.leaseUntil, undefined);
});

test("leases are renewed again once the endpoint answers", async (t) => {
  const { time, control, endpoint, addRun } = startSession();
  await time.advance(200);
  addRun();
  control.isReachable = false;
  await time.advance(3_000);
  control.isReachable = true;
  await time.advance(3_000);
  t.true(findLeaseEnd(endpoint) > time.now + LEASE_MS / 2);
});

// Guards against tasks of a crashed endpoint that wait although it is back: a poll waits
// there for an end while the endpoint has lost all runs.
test("the first poll after a failure does not wait for an end", async (t) => {
  const { time, control, addRun } = startSession();
  await time.advance(200);
  addRun();
  await time.advance(2_000);
  t.true(control.polls.at(-1)!.waitMs > 0);
  control.isReachable = false;
  await time.advance(3_000);
  control.isReachable = true;
  const firstAnswered = control.polls.length - 1;
  await time.advance(3_000);
  t.is(control.polls[firstAnswered].waitMs, 0);
  t.true(control.polls[firstAnswered + 1].waitMs > 0);
  // On a path with losses an answer needs retransmissions.
  t.is(control.timeouts[firstAnswered], control.timeouts[firstAnswered + 1]);
});

test("an endpoint without runs is polled only once", async (t) => {
  const { time, control } = startSession();
  await time.advance(20_000);
  t.is(control.polls.length, 1);
});

test("an owner that may not renew leases stops polling", async (t) => {
  const { time, control, host, addRun } = startSession();
  await time.advance(200);
  host.mayRenewLeases = false;
  addRun();
  const pollsBefore = control.polls.length;
  await time.advance(5_000);
  t.true(control.polls.length <= pollsBefore + 1);
});

// Guards against an acknowledgement that erases ends of the next lifetime, whose
// numbers start over: their tasks would run again.
test("ends are acknowledged only to an endpoint that answered the last poll", async (t) => {
  const { time, control, endpoint, addRun } = startSession();
  await time.advance(200);
  addRun();
  await time.advance(200);
  control.isReachable = false;
  await time.advance(2_000);
  endpoint.committedEndNumber = 7;
  const failedPolls = control.polls.length;
  await time.advance(2_000);
  control.isReachable = true;
  await time.advance(4_000);
  const later = control.polls.slice(failedPolls + 1);
  const first = later.findIndex(({ acknowledgedEnd }) => acknowledgedEnd === 7);
  t.true(first > 0);
  const before = later.slice(0, first);
  t.true(before.some(({ leaseUntil }) => leaseUntil === undefined));
  t.true(before.every(({ acknowledgedEnd }) => acknowledgedEnd === 0));
});

// Guards against an end that a restarted endpoint drops unseen, after which its task
// runs again: the acknowledgement was meant for the former lifetime.
test("no ends are acknowledged while a start may have reached a later lifetime", async (t) => {
  const { time, control, endpoint, addRun } = startSession();
  await time.advance(200);
  endpoint.committedEndNumber = 7;
  addRun({ sentToBornAt: 1, isLifetimeKnown: false });
  await time.advance(3_000);
  t.true(control.polls.length > 2);
  t.true(control.polls.every(({ acknowledgedEnd }) => acknowledgedEnd === 0));
  addRun();
  await time.advance(3_000);
  t.is(control.polls.at(-1)?.acknowledgedEnd, 0);
  t.true(control.polls.some(({ acknowledgedEnd }) => acknowledgedEnd === 7));
});

// Guards against runs that are released as gone although their endpoint has moved: the
// answer "another endpoint" came from its former address.
test("an answer from a former address does not say that the endpoint was replaced", async (t) => {
  const { time, control, host, endpoint, addRun } = startSession();
  await time.advance(200);
  control.replacedAddress = endpoint.info.address;
  addRun();
  await time.advance(50);
  endpoint.info = { ...endpoint.info, address: "10.0.0.2:1" };
  await time.advance(3_000);
  t.is(host.replacements, 0);
});

// Guards against a stalled run that is found up to a second late, because the poll that
// could show it waits for the end of a run.
test("a poll does not wait beyond the moment when a run may be stalled", async (t) => {
  const { time, control, endpoint, addRun } = startSession();
  await time.advance(200);
  addRun();
  await time.advance(1_000);
  const stallCheckAt = time.now + 2_500;
  endpoint.stallCheckAt = stallCheckAt;
  const answersAt: number[] = [];
  const poll = control.poll.bind(control);
  control.poll = async (...call) => {
    const answer = await poll(...call);
    answersAt.push(time.now);
    return answer;
  };
  await time.advance(2_600);
  t.true(answersAt.includes(stallCheckAt), answersAt.join());
  const { length } = answersAt;
  await time.advance(3_000);
  t.true(answersAt.length - length <= 3);
});

// Each end answered a poll and the next poll followed: an owner that was late read 1,400
// listings a second and had no time to start anything.
test("an owner that is late polls an endpoint less often, and renews its leases in time", async (t) => {
  const { time, control, host, endpoint, addRun } = startSession();
  await time.advance(200);
  control.hasManyEnds = true;
  addRun();
  const countPolls = async () => {
    control.polls.length = 0;
    await time.advance(2_000);
    return control.polls.length;
  };
  t.true(await countPolls() >= 18);
  host.pollIntervalMs = computePollInterval(1_000);
  t.is(host.pollIntervalMs, MAX_POLL_INTERVAL_MS);
  t.true(await countPolls() <= 6);
  const unrenewedMs = LEASE_RENEWAL_MS + MAX_POLL_INTERVAL_MS;
  for (let ms = 0; ms < 2_000; ms += 10) {
    await time.advance(10);
    const ageMs = time.now - endpoint.leases.renewedAt;
    t.true(ageMs <= unrenewedMs, `${ageMs} ms`);
  }
  host.pollIntervalMs = computePollInterval(0);
  t.true(await countPolls() >= 18);
});
