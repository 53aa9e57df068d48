// A small deployment for the scripts of this review: the platform's store, its policy
// service, the service for the endpoints' VMs and the endpoints are stand-ins in this
// process; the entries are processes of their own, started with the command of
// deploy/system.toml.
import { Buffer } from "node:buffer";
import { spawn } from "node:child_process";
import { appendFileSync, mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { createServer, request as sendHttp } from "node:http";
import { createServer as createNetServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { EndpointStandIn } from "../../tests/standins/endpoint.ts";
import { StoreStandIn } from "../../tests/standins/job_platform.ts";

/** Command of the program in deploy/system.toml. */
const COMMAND = [
  "--max-old-space-size=220",
  "--max-semi-space-size=8",
  "target/entry.cjs",
];

/** Keys of the two tenants. */
const API_KEY = "norte-key-1";
export const OTHER_KEY = "sur-key-1";
const CALLER_HOST = "desk.example";
const PREFIX = "/filings/";
/** Prefix of a queue whose starts need a ticket. */
export const GATED_PREFIX = "/gated/";

export function sleep(ms) {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

/** Writes the record of one run of a case. */
export class Record {
  #file;
  #startedAt = Date.now();

  constructor(file) {
    this.#file = file;
    writeFileSync(file, "");
  }

  write(text) {
    const seconds = ((Date.now() - this.#startedAt) / 1_000).toFixed(3);
    appendFileSync(this.#file, `${seconds.padStart(8)} s  ${text}\n`);
  }
}

/** Finds a port that is free on an address now. */
function findFreePort(host) {
  return new Promise((resolve, reject) => {
    const server = createNetServer();
    server.once("error", reject);
    server.listen(0, host, () => {
      const { port } = server.address();
      server.close(() => resolve(port));
    });
  });
}

/** Ports that were given out; one that is not listened on yet could be found again. */
const usedPorts = new Set();

async function findAddress(host) {
  let port;
  do port = await findFreePort(host); while (usedPorts.has(port));
  usedPorts.add(port);
  return { host, port };
}

function format({ host, port }) {
  return `${host}:${port}`;
}

/** Sends one HTTP request; resolves to its status and body. */
export function send(address, { method, path, headers = {}, body, timeoutMs }) {
  return new Promise((resolve) => {
    let isSettled = false;
    const settle = (answer) => {
      if (isSettled) return;
      isSettled = true;
      resolve(answer);
    };
    const text = body === undefined ? "" : JSON.stringify(body);
    const call = sendHttp({
      ...address,
      method,
      path,
      agent: false,
      headers: {
        ...headers,
        ...(text
          ? {
            "content-type": "application/json",
            "content-length": Buffer.byteLength(text),
          }
          : {}),
      },
    }, (response) => {
      let answer = "";
      response.setEncoding("utf8");
      response.on("data", (chunk) => answer += chunk);
      response.on("end", () => {
        try {
          settle({
            status: response.statusCode,
            body: answer ? JSON.parse(answer) : {},
          });
        } catch {
          settle({ status: response.statusCode, body: {} });
        }
      });
      response.on("error", (error) => settle({ status: 0, error }));
    });
    call.on("error", (error) => settle({ status: 0, error }));
    setTimeout(() => {
      settle({ status: 0, error: new Error("no answer in time") });
      call.destroy();
    }, timeoutMs ?? 3_000).unref();
    call.end(text);
  });
}

/** Validity of a ticket, in milliseconds. */
const TICKET_MS = 1_500;

/**
 * Stand-in for the policy service: all endpoints may run all steps. A ticket is valid for
 * one step, one lifetime of one endpoint, and a limited time.
 */
class PolicyService {
  #server;
  #site;

  constructor(site) {
    this.#site = site;
  }

  async start(address) {
    this.#server = createServer((request, response) => {
      let text = "";
      request.on("data", (chunk) => text += chunk);
      request.on("end", () => {
        const { step, workers } = JSON.parse(text);
        const expiresAt = Date.now() + TICKET_MS;
        const good = workers.filter((id) => this.#site.endpoints.has(id))
          .map((id) => {
            const { standIn } = this.#site.endpoints.get(id);
            return [id, `${step} ${standIn.born} ${expiresAt}`];
          });
        response.writeHead(200, { "content-type": "application/json" });
        response.end(JSON.stringify({ good, valid_ms: TICKET_MS }));
      });
    });
    await new Promise((resolve) =>
      this.#server.listen(address.port, address.host, resolve)
    );
  }

  stop() {
    this.#server?.close();
    this.#server?.closeAllConnections();
  }
}

function isTicketValid({ task, ticket = "" }, now, standIn) {
  const [step, born, expiresAt] = ticket.split(" ");
  return task.startsWith(`${step}.`) && Number(born) === standIn.born &&
    now < Number(expiresAt);
}

/** Stand-in for the platform's service for VMs, as PROTOCOL.md ("Machines") says. */
export class VmService {
  /** VMs by name: `id` of the endpoint, `state`, and the waves that it has had. */
  vms = new Map();
  upkeepMs = 2_000;
  /** Time until an order is answered, in milliseconds. */
  answerMs = 0;
  /** Called when an order arrives, before it is carried out. */
  onOrder = () => {};
  /** Called when an upkeep begins: everything that runs on the VM ends now. */
  onUpkeep = () => {};
  /** Called when the VM is up again, with a new endpoint. */
  onUp = () => {};
  #server;

  async start(address) {
    this.#server = createServer((request, response) => {
      let text = "";
      request.on("data", (chunk) => text += chunk);
      request.on("end", () => {
        const { status, body } = this.#serve(request, text);
        const delayMs = request.method === "GET" ? 0 : this.answerMs;
        setTimeout(() => {
          response.writeHead(status, { "content-type": "application/json" });
          response.end(JSON.stringify(body));
        }, delayMs);
      });
    });
    await new Promise((resolve) =>
      this.#server.listen(address.port, address.host, resolve)
    );
  }

  stop() {
    this.#server?.close();
    this.#server?.closeAllConnections();
  }

  #serve(request, text) {
    if (request.method === "GET") {
      const machines = [...this.vms].map(([machine, { id, state, pool }]) => ({
        machine,
        pool,
        state,
        id,
      }));
      return { status: 200, body: { machines, next_token: null } };
    }
    const { machine, wave } = JSON.parse(text);
    this.onOrder(machine, {
      wave,
      holder: request.headers["duty-holder"],
      fence: Number(request.headers["fence-token"]),
    });
    const vm = this.vms.get(machine);
    if (!vm) return { status: 400, body: {} };
    if (vm.waves.has(wave)) return { status: 200, body: {} };
    if (vm.state !== "up") return { status: 409, body: { reason: "busy" } };
    vm.waves.add(wave);
    vm.state = "upkeep";
    const holder = request.headers["duty-holder"];
    this.onUpkeep(machine, vm.id, { wave, holder });
    setTimeout(() => {
      vm.state = "up";
      this.onUp(machine, vm);
    }, this.upkeepMs);
    return { status: 200, body: {} };
  }
}

/** Entries as processes, with stand-ins for everything around them. */
export class Site {
  store = new StoreStandIn();
  vmService = new VmService();
  endpoints = new Map();
  entries = [];
  record;
  #policy = new PolicyService(this);
  #folder = mkdtempSync(join(tmpdir(), "baobabhead-review-"));
  #network = `127.${100 + Math.floor(Math.random() * 100)}.${
    1 + Math.floor(Math.random() * 250)
  }`;
  #version = 1;
  #isStopping = false;
  addresses = {};

  constructor(record) {
    this.record = record;
  }

  async start({ entries, endpoints }) {
    const host = `${this.#network}.100`;
    this.addresses = {
      store: await findAddress(host),
      policy: await findAddress(host),
      vms: await findAddress(host),
    };
    await this.store.start(this.addresses.store);
    await this.#policy.start(this.addresses.policy);
    await this.vmService.start(this.addresses.vms);
    for (const options of endpoints) await this.addEndpoint(options);
    this.applyConfig();
    for (let n = 0; n < entries; n++) await this.#addEntry(n);
    for (const entry of this.entries) this.startEntry(entry);
    await this.waitUntilReady(20_000);
  }

  /** Ends everything that was started. */
  async stop() {
    this.#isStopping = true;
    for (const entry of this.entries) entry.process?.kill("SIGKILL");
    await sleep(100);
    for (const { standIn } of this.endpoints.values()) standIn.stop();
    this.store.stop();
    this.#policy.stop();
    this.vmService.stop();
    rmSync(this.#folder, { recursive: true, force: true });
  }

  /** Writes the operator's configuration. */
  applyConfig() {
    this.store.put("op/config", {
      version: this.#version++,
      routes: [{
        name: "filings",
        host: CALLER_HOST,
        prefix: PREFIX,
        service: "desk",
        priority: 1,
        attempts: 4,
        stretch: 4,
        target_latency_ms: 1_000,
      }, {
        name: "gated",
        host: CALLER_HOST,
        prefix: GATED_PREFIX,
        service: "desk",
        priority: 1,
        attempts: 4,
        stretch: 4,
        target_latency_ms: 1_000,
        advice: { decide_ms: 2, each_ms: 1, valid_ms: TICKET_MS },
      }],
      services: [{ name: "desk", admission_check: false }],
      tenants: [["norte", API_KEY], ["sur", OTHER_KEY]].map(([name, key]) => ({
        name,
        api_keys: [key],
        weight: 100,
        cap: { cpu: 0, mem_mb: 0, gpu: 0 },
      })),
      limits: { max_body_bytes: 262_144 },
    });
  }

  async addEndpoint({ id, host, rack = "rack-1", configure = () => {} }) {
    const address = await findAddress(`${this.#network}.${host}`);
    const standIn = new EndpointStandIn(id);
    // Starts of a queue without advice carry no ticket.
    standIn.isTicketValid = (order, now) =>
      !order.ticket || isTicketValid(order, now, standIn);
    standIn.onEvent = ({ kind, endpoint, task, run, detail }) =>
      this.record.write(
        `endpoint ${endpoint}: ${kind} ${task} run ${run}${
          kind === "started" ? "" : ` ${detail}`
        }`,
      );
    configure(standIn);
    await standIn.start(address);
    this.endpoints.set(id, { standIn, address, host, rack });
    this.writeEndpoint(id);
    return standIn;
  }

  writeEndpoint(id) {
    const { standIn, address, rack } = this.endpoints.get(id);
    this.store.put(`servers/${id}`, {
      service: "desk",
      addr: format(address),
      zone: "zone-a",
      version: "1",
      slots: 8,
      state: "ready",
      cold_remaining_ms: 0,
      room: { cpu: 32_000, mem_mb: 131_072, gpu: 0 },
      labels: ["a", rack],
      born: standIn.born,
      seq: 1,
    });
  }

  async #addEntry(n) {
    const host = `${this.#network}.${1 + n}`;
    const entry = {
      name: `entry-${n}`,
      host,
      callers: await findAddress(host),
      readiness: await findAddress(host),
      peers: await findAddress(host),
      operations: await findAddress(host),
      file: join(this.#folder, `entry-${n}.ini`),
      process: undefined,
      ends: 0,
    };
    writeFileSync(entry.file, this.#formatSettings(entry));
    this.entries.push(entry);
  }

  /** Formats the settings as deploy/settings.ini.template does. */
  #formatSettings(entry) {
    const { store, policy, vms } = this.addresses;
    return `[vm]
name = ${entry.name}
domain = zone-a
address = ${entry.host}
cpu_share = 0.675
cores = 1

[listen]
callers = ${format(entry.callers)}
readiness = ${format(entry.readiness)}
peers = ${format(entry.peers)}
operations = ${format(entry.operations)}

[store]
address = ${format(store)}

[policy]
address = ${format(policy)}

[vms]
address = ${format(vms)}
take_over_pause_ms = 3000

[scheduling]
run_times = learned
choice = speed
order = learned
admission = room
shares = dominant
stalls = progress
gang_starts = repeat
leaving = move

[bounds]
task_lease_ms = 6000
key_revocation_ms = 5000
ended_jobs_ms = 120000
endpoint_records_ms = 3000

[log]
level = info
`;
  }

  /** Starts an entry; one that ends is started again after a second. */
  startEntry(entry) {
    const child = spawn(process.execPath, COMMAND, {
      env: {
        PATH: process.env.PATH,
        HOME: process.env.HOME,
        BAOBABHEAD_NODE_FILE: entry.file,
      },
      stdio: "ignore",
    });
    entry.process = child;
    child.on("exit", (code, signal) => {
      if (this.#isStopping) return;
      entry.ends++;
      this.record.write(`${entry.name} ended: ${signal ?? `code ${code}`}`);
      setTimeout(() => {
        if (!this.#isStopping) this.startEntry(entry);
      }, 1_000);
    });
  }

  /** The entry that owns the cell, according to the store. */
  findOwner() {
    const owner = this.store.read("baobabhead/cell/owner");
    return this.entries.find(({ name }) => name === owner?.entry);
  }

  async isReady(entry) {
    const { status } = await send(entry.readiness, {
      method: "GET",
      path: "/baobabhead/readiness",
      timeoutMs: 1_000,
    });
    return status === 200;
  }

  async waitUntilReady(timeoutMs) {
    const until = Date.now() + timeoutMs;
    for (;;) {
      const ready = await Promise.all(
        this.entries.map((entry) => this.isReady(entry)),
      );
      if (ready.every((isReady) => isReady)) return;
      if (Date.now() > until) throw new Error("the entries are not ready");
      await sleep(100);
    }
  }

  /** Sends one request of a consumer to an entry, and records it. */
  async call(
    entry,
    method,
    id,
    { body, prefix = PREFIX, key = API_KEY, deadlineMs = 3_000 } = {},
  ) {
    const answer = await send(entry.callers, {
      method,
      path: prefix + id,
      headers: {
        host: CALLER_HOST,
        "x-api-key": key,
        "deadline-ms": String(deadlineMs),
      },
      body,
      timeoutMs: deadlineMs,
    });
    const detail = answer.status === 200 && answer.body.state
      ? ` ${answer.body.state}`
      : "";
    const outcome = answer.status || String(answer.error?.message);
    this.record.write(
      `consumer ${key}: ${method} ${prefix}${id} at ${entry.name}: ${outcome}${detail}`,
    );
    return answer;
  }

  /** Hands a job in, with up to `attempts` attempts at the entries in turn. */
  async submit(id, body, { attempts = 5, first = 0, ...options } = {}) {
    for (let attempt = 0; attempt < attempts; attempt++) {
      const entry = this.entries[(first + attempt) % this.entries.length];
      const answer = await this.call(entry, "POST", id, {
        body,
        ...options,
      });
      if (answer.status === 200) return true;
      await sleep(500);
    }
    return false;
  }
}

/** Longest time that a case takes, in milliseconds. */
const MAX_CASE_MS = 110_000;

/** Runs a case: its body returns true if the rule was broken. */
export async function runCase(folder, body) {
  const record = new Record(join(folder, "record.txt"));
  const hasTrouble = process.env.TROUBLE !== "0";
  record.write(`trouble: ${hasTrouble}`);
  const site = new Site(record);
  const end = async (status) => {
    record.write(
      ["the rule held", "the rule was broken", "the case could not run"][
        status
      ],
    );
    await site.stop();
    process.exit(status);
  };
  const giveUp = (reason) => {
    record.write(reason);
    void end(2);
  };
  process.on("SIGTERM", () => giveUp("ended by SIGTERM"));
  process.on("SIGINT", () => giveUp("ended by SIGINT"));
  setTimeout(() => giveUp("took too long"), MAX_CASE_MS).unref();
  let status = 2;
  try {
    status = await body(site, { hasTrouble, record }) ? 1 : 0;
  } catch (error) {
    record.write(String(error.stack));
  }
  await end(status);
}
