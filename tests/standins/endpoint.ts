import type { IncomingMessage, Server, ServerResponse } from "node:http";
import {
  type EndpointEvent,
  EndpointEventKind,
  EndpointLifetime,
  type OrderBody,
} from "./endpoint_lifetime.ts";
import { listen, sendJson, sleep } from "./http_server.ts";
import { parseTaskCrash } from "./task_crash.ts";

/** Interval at which ends of runs are recorded, in milliseconds. */
const TICK_MS = 20;

/** Stand-in for one of the platform's endpoints. */
export class EndpointStandIn {
  id: string;
  /** Task of each run that was started, in order. */
  readonly starts: string[] = [];
  /** Payload of the last start of each task. */
  readonly payloads = new Map<string, string>();
  readonly #clockRate: number;
  #lifetime: EndpointLifetime;
  #server: Server | undefined;
  #address = { host: "", port: 0 };
  #timer: NodeJS.Timeout | undefined;
  /** Duration of each run, in milliseconds. */
  runMs = 100;
  /** Returns the duration of a run, in milliseconds, by its task and payload. */
  measureDuration: (task: string, payload: string) => number = () => this.runMs;
  /**
   * Returns the progress in percent and the gauge of a task's run; by default
   * the progress is the elapsed part of the run's duration.
   */
  measureRun: ((task: string) => [percent: number, gauge: number]) | undefined;
  /** Refuses starts without the ticket of the policy service. */
  needsTicket = false;
  /** Returns whether the endpoint accepts the ticket of a start. */
  isTicketValid: (order: OrderBody, now: number) => boolean = ({ ticket }) =>
    !this.needsTicket || ticket === `t-${this.id}`;
  /** Time until a stopped run ends, in milliseconds. */
  stopMs = 0;
  /** Answers no call, and carries each out after this time, in ms. */
  lateMs = 0;
  /** Carries out and answers calls of this lifetime once this is false again. */
  isStalled = false;
  /** Called when a task whose payload says so crashes the endpoint. */
  onTaskCrash: () => void = () => this.crash();
  /** Called with each event of a run. */
  onEvent: (event: EndpointEvent) => void = () => {};

  /** `clockRate`: speed of the endpoint's clock. */
  constructor(id: string, { clockRate = 1 }: { clockRate?: number } = {}) {
    this.id = id;
    this.#clockRate = clockRate;
    this.#lifetime = this.#createLifetime();
  }

  /** Start of the endpoint's lifetime, in Unix milliseconds. */
  get born(): number {
    return this.#lifetime.born;
  }

  /** Runs in progress by task and run. */
  get runs(): ReadonlyMap<string, { pace: number }> {
    return this.#lifetime.runs;
  }

  async start(address: { host: string; port: number }): Promise<void> {
    this.#address = address;
    this.#server = await listen(
      address,
      (request, response, text) => this.#receive(request, response, text),
    );
    this.#timer = setInterval(() => this.endDueRuns(Date.now()), TICK_MS);
  }

  stop(): void {
    clearInterval(this.#timer);
    this.#server?.close();
    this.#server?.closeAllConnections();
  }

  /** Ends all runs at once and closes all connections, as a crash would. */
  crash(): void {
    this.stop();
    this.#lifetime.crash(Date.now());
    this.#lifetime = this.#createLifetime();
  }

  /** Starts the next lifetime, at the same address and by default as this id. */
  async restart(id = this.id): Promise<void> {
    this.id = id;
    this.#lifetime = this.#createLifetime();
    await this.start(this.#address);
  }

  /** Ends the runs that are done, stopped or without a lease by this time. */
  endDueRuns(now: number): void {
    this.#lifetime.endDueRuns(now);
  }

  #createLifetime(): EndpointLifetime {
    return new EndpointLifetime({
      endpoint: this.id,
      born: Date.now(),
      clockRate: this.#clockRate,
      onEvent: (event) => {
        if (event.kind === EndpointEventKind.Started) {
          this.starts.push(event.task);
          this.payloads.set(event.task, event.detail);
        }
        this.onEvent(event);
      },
    });
  }

  async #receive(
    request: IncomingMessage,
    response: ServerResponse,
    text: string,
  ): Promise<void> {
    const body = JSON.parse(text) as OrderBody;
    const call = (request.url ?? "").split("/").at(-1) ?? "";
    const expectedId = request.headers["expect-instance"] ?? this.id;
    const { lateMs } = this;
    if (lateMs > 0) {
      await sleep(lateMs);
      if (this.#server?.listening && expectedId === this.id) {
        this.#carryOut(call, body, { isLate: true });
      }
      response.destroy();
      return;
    }
    const lifetime = this.#lifetime;
    const isLate = this.isStalled;
    while (this.isStalled) await sleep(TICK_MS);
    if (lifetime !== this.#lifetime) return;
    if (expectedId !== this.id) {
      return sendJson(response, {}, { status: 421 });
    }
    const reason = this.#carryOut(call, body, { isLate });
    const clock_ms = lifetime.measureClock(Date.now());
    if (reason) {
      return sendJson(response, { clock_ms, reason }, { status: 409 });
    }
    const crash = parseTaskCrash(body.task_spec ?? "");
    if (crash && !crash.isAnswered) return;
    if (call !== "hold") return sendJson(response, { clock_ms });
    await this.#waitForRunEnd(lifetime, body.wait_ms ?? 0);
    if (lifetime !== this.#lifetime) return;
    sendJson(response, lifetime.listRuns(Date.now(), this.measureRun));
  }

  /** Returns the reason if the call is refused. */
  #carryOut(
    call: string,
    body: OrderBody,
    { isLate }: { isLate: boolean },
  ): string | undefined {
    const now = Date.now();
    const lifetime = this.#lifetime;
    lifetime.endDueRuns(now);
    if ((body.fence ?? 0) < lifetime.fence) return "fence";
    lifetime.fence = body.fence ?? 0;
    if (call === "run-start") {
      if (!this.isTicketValid(body, now)) return "ticket";
      const durationMs = this.measureDuration(body.task, body.task_spec ?? "");
      const reason = lifetime.startRun(body, { now, durationMs, isLate });
      if (!reason) this.#scheduleCrash(lifetime, body.task_spec ?? "");
      return reason;
    }
    if (call === "run-stop") lifetime.stopRun(body, now + this.stopMs);
    if (call === "pace") lifetime.setPace(body);
    if (call === "hold") {
      lifetime.extendLease(body.until_ms ?? 0, now);
      lifetime.acknowledge(body.last_seen ?? 0, now);
    }
    lifetime.endDueRuns(now);
    return undefined;
  }

  #scheduleCrash(lifetime: EndpointLifetime, payload: string): void {
    const crash = parseTaskCrash(payload);
    if (!crash) return;
    setTimeout(() => {
      if (lifetime === this.#lifetime) this.onTaskCrash();
    }, crash.afterMs);
  }

  /** Waits until a run ends or `waitMs` passes. */
  async #waitForRunEnd(
    lifetime: EndpointLifetime,
    waitMs: number,
  ): Promise<void> {
    const deadline = Date.now() + waitMs;
    const initialEndNumber = lifetime.lastEndNumber;
    do {
      lifetime.endDueRuns(Date.now());
      const hasEnded = lifetime.lastEndNumber > initialEndNumber;
      if (hasEnded || Date.now() >= deadline) return;
      await sleep(5);
    } while (this.#server?.listening && lifetime === this.#lifetime);
  }
}
