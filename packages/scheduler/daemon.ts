import type { AddressInfo } from "node:net";
import process from "node:process";
import type { Server } from "node:http";
import { Hono } from "hono";
import { BaobabheadError } from "../base/mod.ts";
import {
  ConnectionGuard,
  type ConnectionLimits,
  createGuardedServer,
  readDescriptorLimit,
  type RefusalFormat,
  restrictConnections,
} from "../connections/mod.ts";
import { EventCode } from "../events/mod.ts";
import { type Address, formatAddress } from "../settings/mod.ts";
import {
  createEvacuationApp,
  type EvacuationAppParts,
} from "./evacuation_app.ts";
import { createJobApp, JobRefusals } from "./job_app.ts";
import { LoopWatch } from "./loop_watch.ts";
import {
  IDLE_CONNECTION_MS,
  LAST_ANSWER_MS,
  MAX_JOB_BODY_BYTES,
  OPERATIONS_LIMITS,
  OWNER_CALL_TIMEOUT_MS,
  SHUTDOWN_CHECK_INTERVAL_MS,
  SHUTDOWN_GRACE_MS,
} from "./constants.ts";
import type { SchedulerNode } from "./scheduler_node.ts";

/** Thrown when a configured address cannot be listened on. */
export class SocketError extends BaobabheadError {}

/** The HTTP interfaces of a platform for callers and load balancers. */
export interface PlatformApps {
  callers: Hono;
  readiness: Hono;
  /** Refusals in the form of the interface for callers. */
  callerRefusals: RefusalFormat;
  /** Largest body of a caller's request, in bytes. */
  maxBodyBytes: number;
}

/** Where a server listens and what bounds its connections. */
interface Listener {
  name: string;
  address: Address;
  limits: ConnectionLimits;
  maxBodyBytes: number;
  refusals: RefusalFormat;
}

/** Runs the HTTP servers of one entry and its graceful shutdown. */
export class SchedulerDaemon {
  readonly #node: SchedulerNode;
  readonly #apps: PlatformApps;
  readonly #servers: Server[] = [];
  readonly #guards: ConnectionGuard[] = [];
  readonly #loopWatch: LoopWatch;
  #stopping: Promise<void> | undefined;

  constructor(node: SchedulerNode, apps: PlatformApps) {
    this.#node = node;
    this.#apps = apps;
    this.#loopWatch = new LoopWatch({ ...node.parts, measureCpu });
  }

  /** Starts the entry and its HTTP servers; the one for callers starts last. */
  async start(): Promise<void> {
    const { listen, callers } = this.#node.parts.settings;
    const { maxBodyBytes, callerRefusals } = this.#apps;
    const jobRefusals = new JobRefusals(this.#node.callerService);
    const internal = {
      limits: { ...callers, ...OPERATIONS_LIMITS },
      refusals: jobRefusals,
    };
    this.#loopWatch.start();
    await this.#listen(this.#apps.readiness, {
      ...internal,
      name: "readiness",
      address: listen.readiness,
      maxBodyBytes: 0,
    });
    await this.#listen(createOperationsApp(this.#node), {
      ...internal,
      name: "operations",
      address: listen.operations,
      maxBodyBytes: MAX_JOB_BODY_BYTES,
    });
    await this.#node.start();
    await this.#listen(this.#apps.callers, {
      name: "callers",
      address: listen.callers,
      limits: {
        ...callers,
        connections: restrictConnections(
          callers.connections,
          readDescriptorLimit(),
        ),
      },
      maxBodyBytes,
      refusals: callerRefusals,
    });
  }

  /**
   * Shuts down gracefully: releases the cell, accepts requests for
   * `SHUTDOWN_GRACE_MS`, and ends once all are answered, at the latest
   * `LAST_ANSWER_MS` later.
   */
  stop(): Promise<void> {
    this.#stopping ??= this.#stopGracefully();
    return this.#stopping;
  }

  /** True once a planned stop has begun. */
  get isStopping(): boolean {
    return this.#stopping !== undefined;
  }

  async #stopGracefully(): Promise<void> {
    const { clock } = this.#node.parts;
    const graceEndsAt = clock.now() + SHUTDOWN_GRACE_MS;
    await this.#node.beginStop();
    // The load balancer sends requests until two readiness checks have failed.
    while (clock.now() < graceEndsAt) {
      await clock.sleep(SHUTDOWN_CHECK_INTERVAL_MS);
    }
    for (const server of this.#servers) {
      server.close();
      server.closeIdleConnections();
    }
    // Callers on open connections may go on sending.
    const answersEndAt = clock.now() + LAST_ANSWER_MS;
    while (
      this.#node.callerService.inFlightCount > 0 && clock.now() < answersEndAt
    ) {
      await clock.sleep(SHUTDOWN_CHECK_INTERVAL_MS);
    }
    // Leaves time to write the last answers to the sockets.
    await clock.sleep(SHUTDOWN_CHECK_INTERVAL_MS);
    this.#loopWatch.stop();
    for (const guard of this.#guards) guard.close();
    this.#node.stop();
  }

  #createServer(app: Hono, listener: Listener): Server {
    const { name, limits, refusals, maxBodyBytes } = listener;
    const { clock, log, metrics } = this.#node.parts;
    const guard = new ConnectionGuard({
      name,
      limits,
      getBodyAllowance: () => ({ bytes: maxBodyBytes, isTrusted: false }),
      refusals,
      clock,
      log,
      metrics,
    });
    this.#guards.push(guard);
    return createGuardedServer(app.fetch, {
      guard,
      limits,
      idleMs: IDLE_CONNECTION_MS,
    });
  }

  #listen(app: Hono, listener: Listener): Promise<AddressInfo> {
    const { address } = listener;
    return new Promise((resolve, reject) => {
      const server = this.#createServer(app, listener);
      this.#servers.push(server);
      server.once("error", (error) => {
        const addressText = formatAddress(address);
        this.#node.parts.log.record(EventCode.ListenFailed, {
          place: addressText,
        });
        reject(
          new SocketError(`Cannot listen on ${addressText}: ${error.message}`),
        );
      });
      server.listen(address.port, address.host, () => {
        resolve(server.address() as AddressInfo);
      });
    });
  }
}

/** Returns the processor time that this process has used, in milliseconds. */
function measureCpu(): number {
  const { user, system } = process.cpuUsage();
  return (user + system) / 1_000;
}

function createOperationsApp(node: SchedulerNode): Hono {
  const app = new Hono();
  app.get("/metrics", async (c) => c.text(await renderMetrics(node)));
  app.get("/dump", (c) => c.json(node.describe()));
  app.route("/", createEvacuationApp(collectEvacuationParts(node)));
  app.route("/", createJobApp(node));
  return app;
}

function collectEvacuationParts(node: SchedulerNode): EvacuationAppParts {
  return {
    ...node.parts,
    entry: node.parts.settings.vm.name,
    isOffered: () => node.parts.settings.bounds.evacuation_ms !== undefined,
    listEvacuations: () =>
      node.gateway.call("evacuation.list", {}, {
        timeoutMs: OWNER_CALL_TIMEOUT_MS,
      }),
  };
}

async function renderMetrics(node: SchedulerNode): Promise<string> {
  const { metrics, clock } = node.parts;
  metrics.setGauge("config_version", node.config.config?.version ?? 0);
  const ageMs = Math.max(0, node.config.measureAge(clock.now()));
  if (Number.isFinite(ageMs)) metrics.setGauge("config_age_ms", ageMs);
  metrics.setGauge("ready", node.isReady() ? 1 : 0);
  return await metrics.renderText();
}
