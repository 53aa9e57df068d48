import type { AddressInfo } from "node:net";
import process from "node:process";
import { createAdaptorServer, type ServerType } from "@hono/node-server";
import { Hono } from "hono";
import { BaobabheadError } from "../base/mod.ts";
import { EventCode } from "../events/mod.ts";
import { type Address, formatAddress } from "../settings/mod.ts";
import {
  createEvacuationApp,
  type EvacuationAppParts,
} from "./evacuation_app.ts";
import { createJobApp } from "./job_app.ts";
import { LoopWatch } from "./loop_watch.ts";
import {
  OWNER_CALL_TIMEOUT_MS,
  SHUTDOWN_CHECK_INTERVAL_MS,
  SHUTDOWN_GRACE_MS,
} from "./constants.ts";
import type { SchedulerNode } from "./scheduler_node.ts";

/** Thrown when a configured address cannot be listened on. */
export class SocketError extends BaobabheadError {}

/** Runs the HTTP servers of one entry and its graceful shutdown. */
export class SchedulerDaemon {
  readonly #node: SchedulerNode;
  readonly #apps: { callers: Hono; readiness: Hono };
  readonly #servers: ServerType[] = [];
  readonly #loopWatch: LoopWatch;
  #stopping: Promise<void> | undefined;

  /** `apps`: the platform's HTTP interfaces for callers and load balancers. */
  constructor(node: SchedulerNode, apps: { callers: Hono; readiness: Hono }) {
    this.#node = node;
    this.#apps = apps;
    this.#loopWatch = new LoopWatch({ ...node.parts, measureCpu });
  }

  /** Starts the entry and its HTTP servers; the one for callers starts last. */
  async start(): Promise<void> {
    const { listen } = this.#node.parts.settings;
    this.#loopWatch.start();
    await this.#listen(this.#apps.readiness, listen.readiness);
    await this.#listen(createOperationsApp(this.#node), listen.operations);
    await this.#node.start();
    await this.#listen(this.#apps.callers, listen.callers);
  }

  /**
   * Shuts down gracefully: releases the cell, accepts requests for
   * `SHUTDOWN_GRACE_MS`, and ends once all are answered.
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
      if ("closeIdleConnections" in server) server.closeIdleConnections();
    }
    while (this.#node.callerService.inFlightCount > 0) {
      await clock.sleep(SHUTDOWN_CHECK_INTERVAL_MS);
    }
    // Leaves time to write the last answers to the sockets.
    await clock.sleep(SHUTDOWN_CHECK_INTERVAL_MS);
    this.#loopWatch.stop();
    this.#node.stop();
  }

  #listen(app: Hono, address: Address): Promise<AddressInfo> {
    return new Promise((resolve, reject) => {
      const server = createAdaptorServer({ fetch: app.fetch });
      if ("keepAliveTimeout" in server) server.keepAliveTimeout = 60_000;
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
