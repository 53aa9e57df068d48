/**
 * Stand-ins for the platform of the users' pages, and a small deployment of the
 * project's own bundle on loopback addresses. Used by the scripts of the cases.
 */
import { Buffer } from "node:buffer";
import { spawn } from "node:child_process";
import {
  closeSync,
  mkdtempSync,
  openSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from "node:fs";
import { Agent, createServer, request as httpRequest } from "node:http";
import { createServer as createTcpServer } from "node:net";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import process from "node:process";
import { fileURLToPath } from "node:url";

const ROOT = join(dirname(fileURLToPath(import.meta.url)), "..");

/** Bounds of the small deployments of the pages. */
export const BOUNDS = {
  contact_ms: 3000,
  ack_ms: 4000,
  drain_ms: 2000,
  grace_s: 6,
  config_deadline_ms: 2000,
  revoke_ms: 5000,
  hold_max_ms: 6000,
  stop_ms: 400,
  cancel_ms: 3000,
  visible_ms: 3000,
  finish_s: 14,
  status_s: 120,
  notice_ms: 4500,
  upkeep_s: 2,
  lease_ms: 3000,
};

const HEARTBEAT_MS = 1500;
const STORE_ANSWER_MS = 4;
const MAX_PAGE_ITEMS = 500;
const MAX_PAGE_BYTES = 1_000_000;
const VALUE_BYTES = 1_048_576;
const MAX_LISTED_ENDS = 500;

export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

/** Writes what was sent, answered and run. */
export class Record {
  #file;

  constructor(file) {
    this.#file = file;
    this.startedAt = Date.now();
    writeFileSync(file, "");
  }

  /** Lines that match are left out. */
  skips = undefined;

  note(text) {
    if (this.skips?.test(text)) return;
    const seconds = ((Date.now() - this.startedAt) / 1_000).toFixed(3);
    writeFileSync(this.#file, `${seconds.padStart(8)} ${text}\n`, {
      flag: "a",
    });
  }
}

function listen(host, port, handle) {
  const server = createServer((request, response) => {
    const chunks = [];
    request.on("data", (chunk) => chunks.push(chunk));
    request.on("error", () => response.destroy());
    request.on("end", () => {
      const text = Buffer.concat(chunks).toString();
      Promise.resolve(handle(request, response, text ? JSON.parse(text) : {}))
        .catch((error) => {
          process.stderr.write(`stand-in: ${error.stack}\n`);
          response.destroy();
        });
    });
  });
  server.keepAliveTimeout = 120_000;
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(port, host, 1_024, () => resolve(server));
  });
}

function send(response, status, value) {
  if (response.destroyed) return;
  const text = JSON.stringify(value ?? {});
  response.writeHead(status, {
    "content-type": "application/json",
    "content-length": Buffer.byteLength(text),
  });
  response.end(text);
}

/** The platform's metadata store. */
export class Store {
  items = new Map();
  /** Source addresses that are turned away with 503. */
  refused = new Set();
  /** Called with each applied transaction: its source and its puts. */
  onTransaction = () => {};
  #events = [];
  #leases = new Map();
  #revision = 1;
  #lastLease = 0;
  #waiting = new Set();
  #server;
  #timer;

  async start(host, port) {
    this.#server = await listen(host, port, async (request, response, body) => {
      const source = request.socket.remoteAddress;
      await sleep(STORE_ANSWER_MS);
      if (this.refused.has(source)) return send(response, 503);
      const url = new URL(request.url, "http://store");
      const [, , call, id] = url.pathname.split("/");
      const query = url.searchParams;
      const [status, value] = await this.#serve(call, {
        source,
        query,
        id: Number(id),
        body,
      });
      if (this.refused.has(source)) return send(response, 503);
      send(response, status, value);
    });
    this.#timer = setInterval(() => this.#expireLeases(), 20);
  }

  stop() {
    clearInterval(this.#timer);
    this.#server?.closeAllConnections();
    this.#server?.close();
  }

  read(key) {
    const item = this.items.get(key);
    return item && JSON.parse(Buffer.from(item.value, "base64").toString());
  }

  /** Writes a key as the operator or a worker does. */
  put(key, value) {
    this.#revision++;
    this.#set(key, Buffer.from(JSON.stringify(value)).toString("base64"), 0);
    this.#wake();
  }

  remove(key) {
    this.#revision++;
    this.#remove(key);
    this.#wake();
  }

  async #serve(call, { source, query, id, body }) {
    switch (call) {
      case "kv-key": {
        const item = this.items.get(query.get("key"));
        return item ? [200, { ...item, as_of: this.#revision }] : [404];
      }
      case "kv-range":
        return [200, this.#list(query)];
      case "kv-watch":
        return [200, await this.#watch(query)];
      case "kv-txn":
        return this.#commit(body, source);
      case "kv-lease": {
        const lease = ++this.#lastLease;
        const ttlMs = Math.max(1_000, body.ttl_ms);
        this.#leases.set(lease, { ttlMs, endsAt: Date.now() + ttlMs });
        return [200, { lease, ttl_ms: ttlMs }];
      }
      case "kv-keep": {
        const lease = this.#leases.get(id);
        if (!lease) return [404];
        lease.endsAt = Date.now() + lease.ttlMs;
        return [200, { ttl_ms: lease.ttlMs }];
      }
      case "kv-lease-end":
        this.#endLease(id);
        return [200];
      default:
        return [404];
    }
  }

  #list(query) {
    const prefix = query.get("prefix") ?? "";
    const after = query.get("after") ?? "";
    const matching = [...this.items.values()]
      .filter(({ key }) => key.startsWith(prefix) && key > after)
      .sort((a, b) => (a.key < b.key ? -1 : 1));
    const items = [];
    let bytes = 0;
    for (const item of matching) {
      const isFull = items.length >= MAX_PAGE_ITEMS ||
        bytes + item.value.length > MAX_PAGE_BYTES;
      if (items.length > 0 && isFull) break;
      items.push(item);
      bytes += item.value.length;
    }
    const truncated = items.length < matching.length;
    return { items, truncated, as_of: this.#revision };
  }

  async #watch(query) {
    const prefix = query.get("prefix") ?? "";
    const after = Number(query.get("after"));
    const endsAt = Date.now() + Number(query.get("wait_ms"));
    for (;;) {
      const events = [];
      for (let at = this.#events.length - 1; at >= 0; at--) {
        const event = this.#events[at];
        if (event.rev <= after) break;
        if (event.key.startsWith(prefix)) events.unshift(event);
      }
      const leftMs = endsAt - Date.now();
      if (events.length > 0 || leftMs <= 0) {
        return { events, as_of: this.#revision };
      }
      await new Promise((resolve) => {
        const wake = () => {
          clearTimeout(timer);
          this.#waiting.delete(wake);
          resolve();
        };
        const timer = setTimeout(wake, leftMs);
        this.#waiting.add(wake);
      });
    }
  }

  #commit(body, source) {
    const expected = body.expected_rev ?? [];
    const holds = expected.every(({ key, rev }) =>
      (this.items.get(key)?.rev ?? 0) === rev
    );
    if (!holds) {
      const items = expected.flatMap(({ key }) => this.items.get(key) ?? []);
      return [412, { items }];
    }
    const puts = body.puts ?? [];
    if (puts.some(({ lease }) => lease && !this.#leases.has(lease))) {
      return [404];
    }
    const isTooLarge = puts.some(({ value }) =>
      Buffer.from(value, "base64").length > VALUE_BYTES
    );
    if (isTooLarge) return [400];
    this.#revision++;
    for (const { key, value, lease } of puts) {
      this.#set(key, value, lease ?? 0);
    }
    for (const key of body.deletes ?? []) this.#remove(key);
    this.#wake();
    this.onTransaction({ source, puts });
    return [200, { rev: this.#revision }];
  }

  #set(key, value, lease) {
    const rev = this.#revision;
    const create_rev = this.items.get(key)?.create_rev ?? rev;
    const item = { key, value, rev, create_rev, lease };
    this.items.set(key, item);
    this.#events.push(item);
  }

  #remove(key) {
    if (!this.items.delete(key)) return;
    this.#events.push({ key, rev: this.#revision, removed: true });
  }

  #wake() {
    for (const wake of [...this.#waiting]) wake();
  }

  #expireLeases() {
    const now = Date.now();
    for (const [lease, { endsAt }] of this.#leases) {
      if (endsAt <= now) this.#endLease(lease);
    }
  }

  #endLease(lease) {
    if (!this.#leases.delete(lease)) return;
    for (const item of [...this.items.values()]) {
      if (item.lease !== lease) continue;
      this.#revision++;
      this.#remove(item.key);
    }
    this.#wake();
  }
}

/** One worker; `restart` begins its next life. */
export class Worker {
  running = new Map();
  #site;
  #options;
  #server;
  #timers = [];
  #ended = [];
  #lastEnd = 0;
  #refusedRuns = new Map();
  #leaseUntil = 0;
  #fence = 0;
  #seq = 0;
  #generation = 0;
  #waiting = new Set();
  isUp = false;

  constructor(site, options) {
    this.#site = site;
    this.#options = options;
    this.id = options.id;
  }

  get name() {
    return this.#options.id;
  }

  get address() {
    return `${this.#options.host}:${this.#options.port}`;
  }

  /** Begins a life, by default under the same id. */
  async start(id = this.id) {
    const { host, port } = this.#options;
    this.id = id;
    this.born = Date.now();
    this.running = new Map();
    this.#ended = [];
    this.#lastEnd = 0;
    this.#refusedRuns = new Map();
    this.#leaseUntil = 0;
    this.#fence = 0;
    this.#seq = 0;
    this.#generation++;
    this.#server = await listen(
      host,
      port,
      (request, response, body) => this.#receive(request, response, body),
    );
    this.isUp = true;
    this.#beat();
    this.#timers = [
      setInterval(() => this.#beat(), HEARTBEAT_MS),
      setInterval(() => this.#endDueRuns(), 20),
    ];
    this.#site.record.note(`worker ${this.id} up, born ${this.born}`);
  }

  /** Ends this life at once: a crash, or an upkeep of the machine. */
  crash(reason) {
    if (!this.isUp) return;
    this.isUp = false;
    this.#generation++;
    for (const timer of this.#timers) clearInterval(timer);
    this.#server.closeAllConnections();
    this.#server.close();
    for (const run of this.running.values()) {
      this.#site.noteEnd(this, run, reason);
    }
    this.running = new Map();
    this.#site.record.note(`worker ${this.id} down: ${reason}`);
    const { id, born } = this;
    // The platform removes the entry after three intervals of silence.
    setTimeout(() => {
      if (this.id !== id || (this.isUp && this.born !== born)) return;
      this.#site.store.remove(`servers/${id}`);
    }, 3 * HEARTBEAT_MS);
  }

  /** Removes the entry at once, as at a planned end. */
  unlist() {
    this.#site.store.remove(`servers/${this.id}`);
  }

  stop() {
    this.isUp = false;
    for (const timer of this.#timers) clearInterval(timer);
    this.#server?.closeAllConnections();
    this.#server?.close();
  }

  get #clock() {
    return 100_000 + (Date.now() - this.born);
  }

  #beat() {
    const { service, zone, rack, kind, machine, room } = this.#options;
    this.#site.store.put(`servers/${this.id}`, {
      service,
      addr: this.address,
      zone,
      version: "v1",
      slots: 8,
      state: "ready",
      cold_remaining_ms: 0,
      room,
      labels: [kind, rack],
      machine,
      clock_ms: this.#clock,
      born: this.born,
      seq: ++this.#seq,
    });
  }

  async #receive(request, response, body) {
    const generation = this.#generation;
    const expected = request.headers["expect-instance"];
    if (expected && expected !== this.id) return send(response, 421);
    this.#endDueRuns();
    const call = request.url.split("/").at(-1);
    const clock_ms = this.#clock;
    if ((body.fence ?? 0) < this.#fence) {
      this.#site.record.note(
        `${this.id} <- ${call} ${
          body.task ?? ""
        } fence ${body.fence}: 409 fence`,
      );
      return send(response, 409, { clock_ms, reason: "fence" });
    }
    this.#fence = body.fence ?? 0;
    if (call === "run-start") return this.#startRun(response, body);
    if (call === "run-stop") {
      this.#stopRun(body);
      return send(response, 200, { clock_ms });
    }
    if (call === "pace") return send(response, 200, { clock_ms });
    if (call !== "hold") return send(response, 404);
    if (body.until_ms) this.#extendLease(body.until_ms);
    this.#ended = this.#ended.filter(([number, task, run, how]) => {
      if (number > (body.last_seen ?? 0)) return true;
      this.#site.record.note(`${this.id} end of ${task}/${run} (${how}) seen`);
      return false;
    });
    const lastEnd = this.#lastEnd;
    const endsAt = Date.now() + Math.min(2_000, body.wait_ms ?? 0);
    while (
      this.#lastEnd === lastEnd && Date.now() < endsAt &&
      generation === this.#generation
    ) {
      await new Promise((resolve) => {
        const wake = () => {
          clearTimeout(timer);
          this.#waiting.delete(wake);
          resolve();
        };
        const timer = setTimeout(wake, Math.max(1, endsAt - Date.now()));
        this.#waiting.add(wake);
      });
    }
    if (generation !== this.#generation) return response.destroy();
    send(response, 200, {
      clock_ms: this.#clock,
      born: this.born,
      running: [...this.running.values()].map((run) => [
        run.task,
        run.run,
        "",
        this.#measurePercent(run),
        0,
      ]),
      ended: this.#ended.slice(0, MAX_LISTED_ENDS),
    });
  }

  #measurePercent({ startedAt, durationMs }) {
    const elapsedMs = Date.now() - startedAt;
    if (durationMs === Infinity) return elapsedMs > 300 ? 100 : 0;
    return Math.min(99, Math.floor(100 * elapsedMs / durationMs));
  }

  #startRun(response, body) {
    const clock_ms = this.#clock;
    const { task, run, task_spec } = body;
    const refuse = (reason) => {
      this.#site.record.note(`${this.id} <- start ${task}/${run}: ${reason}`);
      send(response, 409, { clock_ms, reason });
    };
    if (body.until_ms <= clock_ms) return refuse("late");
    this.#extendLease(body.until_ms);
    const known = this.running.get(task);
    if (known?.run === run) return send(response, 200, { clock_ms });
    if (run <= (this.#refusedRuns.get(task) ?? 0)) return refuse("old");
    const durationMs = this.#site.measureDuration(task);
    const started = { task, run, startedAt: Date.now(), durationMs };
    this.running.set(task, started);
    this.#site.noteStart(this, { ...started, task_spec, fence: body.fence });
    send(response, 200, { clock_ms });
  }

  #stopRun({ task, run }) {
    this.#refuse(task, run);
    const running = this.running.get(task);
    this.#site.record.note(`${this.id} <- stop ${task}/${run}`);
    if (running?.run !== run) return;
    setTimeout(() => this.#endRun(running, "stopped"), 100);
  }

  #refuse(task, run) {
    const highest = this.#refusedRuns.get(task) ?? 0;
    this.#refusedRuns.set(task, Math.max(highest, run));
  }

  #extendLease(until) {
    const limit = this.#clock + BOUNDS.hold_max_ms;
    this.#leaseUntil = Math.max(this.#leaseUntil, Math.min(until, limit));
  }

  #endDueRuns() {
    if (!this.isUp) return;
    const now = Date.now();
    const hasLapsed = this.#clock > this.#leaseUntil;
    for (const run of [...this.running.values()]) {
      if (now >= run.startedAt + run.durationMs) this.#endRun(run, "done");
      else if (hasLapsed) this.#endRun(run, "lapsed");
    }
  }

  #endRun(run, how) {
    if (this.running.get(run.task) !== run) return;
    this.running.delete(run.task);
    this.#refuse(run.task, run.run);
    this.#ended.push([++this.#lastEnd, run.task, run.run, how, ""]);
    this.#site.noteEnd(this, run, how);
    for (const wake of [...this.#waiting]) wake();
  }
}

/** The platform's service for machines: lists them and takes them down. */
export class Cloud {
  upkeeps = [];
  #site;
  #server;
  #begun = new Set();
  #states = new Map();

  constructor(site) {
    this.#site = site;
  }

  async start(host, port) {
    this.#server = await listen(host, port, (request, response, body) => {
      if (request.method === "GET") {
        return send(response, 200, {
          machines: this.#list(),
          next_token: null,
        });
      }
      this.#beginUpkeep(request, response, body);
    });
  }

  stop() {
    this.#server?.closeAllConnections();
    this.#server?.close();
  }

  #list() {
    return this.#site.workers.map((worker) => ({
      machine: `m-${worker.name}`,
      pool: this.#site.service,
      state: this.#states.get(worker) ?? "up",
      zone: "liberia-a",
      id: worker.id,
    }));
  }

  #beginUpkeep(request, response, { machine, wave }) {
    const holder = request.headers["duty-holder"];
    const fence = request.headers["fence-token"];
    const worker = this.#site.workers.find(({ name }) =>
      `m-${name}` === machine
    );
    if (!worker) return send(response, 400);
    const key = `${wave} ${machine}`;
    if (this.#begun.has(key)) return send(response, 200);
    if ((this.#states.get(worker) ?? "up") !== "up") {
      return send(response, 409, { reason: "busy" });
    }
    this.#begun.add(key);
    this.#states.set(worker, "upkeep");
    const running = [...worker.running.values()];
    this.#site.record.note(
      `upkeep of ${machine} ordered by ${holder}, fence ${fence}; ` +
        `running there: ${running.map(({ task }) => task).join(" ") || "-"}`,
    );
    this.upkeeps.push({ at: Date.now(), worker: worker.name, running });
    worker.crash("upkeep");
    worker.unlist();
    send(response, 200);
    setTimeout(async () => {
      if (this.#site.isStopped) return;
      await worker.start(`${worker.name}-${wave}`);
      this.#states.set(worker, "up");
    }, BOUNDS.upkeep_s * 1_000);
  }
}

/** A caller with one open channel to one entry. */
export class Caller {
  #agent = new Agent({ keepAlive: true, maxSockets: 1 });
  #entry;
  #site;

  constructor(site, entry) {
    this.#site = site;
    this.#entry = entry;
  }

  /** Sends a request; `status` 0: no answer in time. */
  async call(method, path, options = {}) {
    const { body, deadlineMs = 3_000, isQuiet = false } = options;
    const { record, key, host } = this.#site;
    const { name } = this.#entry;
    const text = body === undefined ? "" : JSON.stringify(body);
    const what = `${method} ${path} at ${name}`;
    if (!isQuiet) record.note(`${what}: sent`);
    const answer = await new Promise((resolve) => {
      const request = httpRequest({
        host: this.#entry.host,
        port: this.#entry.port,
        agent: this.#agent,
        method,
        path,
        headers: {
          host,
          "x-api-key": key,
          "deadline-ms": String(deadlineMs),
          "content-type": "application/json",
          "content-length": Buffer.byteLength(text),
        },
      }, (response) => {
        const chunks = [];
        response.on("data", (chunk) => chunks.push(chunk));
        response.on("error", () => resolve({ status: 0 }));
        response.on("end", () => {
          const answerText = Buffer.concat(chunks).toString();
          let value;
          try {
            value = JSON.parse(answerText);
          } catch {
            value = answerText;
          }
          resolve({ status: response.statusCode, body: value });
        });
      });
      request.on("error", () => resolve({ status: 0 }));
      const timer = setTimeout(() => request.destroy(), deadlineMs);
      request.on("close", () => clearTimeout(timer));
      request.end(text);
    });
    const shown = answer.body === undefined ? "" : JSON.stringify(answer.body);
    record.note(`${what}: ${answer.status} ${shown}`);
    return { ...answer, at: Date.now() };
  }

  close() {
    this.#agent.destroy();
  }
}

/** Renders a template of the pages: values and sections. */
export function renderTemplate(template, fields) {
  return renderPart(template, [fields]);
}

function renderPart(text, scopes) {
  const tag = /\{\{([#^]?)([^{}]+)\}\}/g;
  let rendered = "";
  let at = 0;
  for (let match = tag.exec(text); match; match = tag.exec(text)) {
    rendered += text.slice(at, match.index);
    at = tag.lastIndex;
    const [, kind, name] = match;
    const value = findValue(name, scopes);
    if (kind === "") {
      rendered += value ?? "";
      continue;
    }
    const end = `{{/${name}}}`;
    const endAt = text.indexOf(end, at);
    const inner = text.slice(at, endAt);
    const isPresent = value !== undefined && value !== false && value !== "";
    if (kind === "#" && isPresent) {
      rendered += renderPart(inner, [...scopes, value]);
    } else if (kind === "^" && !isPresent) {
      rendered += renderPart(inner, scopes);
    }
    at = endAt + end.length;
    tag.lastIndex = at;
  }
  return rendered + text.slice(at);
}

function findValue(name, scopes) {
  if (name === ".") return scopes.at(-1);
  for (const scope of scopes.toReversed()) {
    let value = scope;
    for (const part of name.split(".")) value = value?.[part];
    if (value !== undefined) return value;
  }
  return undefined;
}

/** A deployment: entries as processes, workers and the platform as stand-ins. */
export class Site {
  host = "nony24.example";
  prefix = "/lohu930/";
  key = "k-5f2c9a";
  service = "huvo11a";
  store = new Store();
  cloud = new Cloud(this);
  workers = [];
  entries = [];
  starts = [];
  ends = [];
  isStopped = false;
  /** Returns how long a task runs, in milliseconds. */
  measureDuration = () => 1_000;
  /** Returns the kind of the worker with this index, its first label. */
  getKind = () => "a";
  /** Returns the rack of the worker with this index, its second label. */
  getRack = (n) => `r1-${n % 2}`;
  #version = 0;
  #network;
  #directory = mkdtempSync(join(tmpdir(), "review-"));

  constructor(record) {
    this.record = record;
    process.once("exit", () => this.#killAll());
    for (const signal of ["SIGINT", "SIGTERM"]) {
      process.once(signal, () => process.exit(2));
    }
  }

  async start({ entries, workers, room, routes, tenants }) {
    this.#network = await findNetwork();
    const platform = `${this.#network}.1`;
    await this.store.start(platform, 8182);
    await this.cloud.start(platform, 8183);
    this.applyConfig({ routes, tenants });
    for (let n = 0; n < workers; n++) {
      const worker = new Worker(this, {
        id: `i-${n}`,
        host: `${this.#network}.${100 + n}`,
        port: 8080,
        service: this.service,
        zone: "liberia-a",
        rack: this.getRack(n),
        kind: this.getKind(n),
        machine: `m-i-${n}`,
        room: room ?? { cpu: 16000, mem_mb: 32768, gpu: 0 },
      });
      this.workers.push(worker);
      await worker.start();
    }
    for (let n = 0; n < entries; n++) {
      const host = `${this.#network}.${10 + n}`;
      this.entries.push({ name: `edge-${n + 1}`, host, port: 8183 });
      this.#writeSettings(n);
      this.startEntry(n);
    }
    await this.waitFor("all entries ready", async () => {
      const states = await Promise.all(
        this.entries.map((entry) => this.isReady(entry)),
      );
      return states.every(Boolean);
    }, 20_000);
    this.record.note(`ready; owner: ${this.findOwner()?.name}`);
  }

  /** Writes the next manifest. */
  applyConfig({ routes = [{}], tenants = [{}] } = {}) {
    this.#version += 3;
    this.store.put("op/config", {
      version: this.#version,
      routes: routes.map((route) => ({
        name: "r-1",
        host: this.host,
        prefix: this.prefix,
        route_type: "non_idempotent",
        timeout_ms: 3000,
        target_latency_ms: 3000,
        priority: 1,
        service: this.service,
        attempts: 4,
        stretch: 4,
        no_auth: false,
        ...route,
      })),
      services: [{ name: this.service, admission_check: false }],
      tenants: tenants.map((tenant) => ({
        name: "t-1",
        api_keys: [this.key],
        weight: 100,
        cap: { cpu: 0, mem_mb: 0, gpu: 0 },
        ...tenant,
      })),
      limits: {},
    });
  }

  startEntry(n) {
    const entry = this.entries[n];
    const deploy = readFileSync(join(ROOT, "deploy/system.toml"), "utf8");
    const [program, ...args] = /^run = "(.*)"$/m.exec(deploy)[1].split(" ");
    const log = openSync(join(this.#directory, `${entry.name}.log`), "a");
    entry.child = spawn(program, args, {
      cwd: ROOT,
      stdio: ["ignore", log, log],
      env: {
        PATH: process.env.PATH,
        HOME: process.env.HOME,
        LANG: process.env.LANG,
        BAOBABHEAD_NODE_FILE: entry.settings,
      },
    });
    closeSync(log);
    entry.isRunning = true;
    const { child } = entry;
    child.once("exit", (code, signal) => {
      if (entry.child === child) entry.isRunning = false;
      if (this.isStopped) return;
      entry.ends = (entry.ends ?? 0) + (signal === "SIGKILL" ? 0 : 1);
      this.record.note(`process of ${entry.name} ended: ${signal ?? code}`);
    });
    this.record.note(`process of ${entry.name} started`);
  }

  signal(entry, signal) {
    this.record.note(`${signal} to ${entry.name}`);
    entry.child.kill(signal);
  }

  readLog(entry) {
    return readFileSync(join(this.#directory, `${entry.name}.log`), "utf8");
  }

  /** Returns the entry that holds the owner's key in the store. */
  findOwner() {
    const owner = this.store.read("baobabhead/cell/owner");
    return this.entries.find(({ name }) => name === owner?.entry);
  }

  async isReady(entry) {
    try {
      const answer = await fetch(
        `http://${entry.host}:8184/baobabhead/readiness`,
        { signal: AbortSignal.timeout(500) },
      );
      await answer.text();
      return answer.status === 200;
    } catch {
      return false;
    }
  }

  async waitFor(what, isMet, timeoutMs = 10_000) {
    const until = Date.now() + timeoutMs;
    while (!await isMet()) {
      if (Date.now() > until) throw new Error(`timed out: ${what}`);
      await sleep(10);
    }
  }

  noteStart(worker, start) {
    this.starts.push({ ...start, worker: worker.name });
    this.record.note(
      `${worker.id} starts ${start.task}/${start.run}, fence ${start.fence}`,
    );
  }

  noteEnd(worker, run, how) {
    this.ends.push({ ...run, worker: worker.name, how, at: Date.now() });
    this.record.note(`${worker.id} ends ${run.task}/${run.run}: ${how}`);
  }

  stop() {
    this.isStopped = true;
    this.#killAll();
    for (const worker of this.workers) worker.stop();
    this.store.stop();
    this.cloud.stop();
    rmSync(this.#directory, { recursive: true, force: true });
  }

  #killAll() {
    this.isStopped = true;
    for (const { child, isRunning } of this.entries) {
      if (!isRunning) continue;
      child.kill("SIGCONT");
      child.kill("SIGKILL");
    }
  }

  #writeSettings(n) {
    const entry = this.entries[n];
    const platform = `${this.#network}.1`;
    const template = readFileSync(
      join(ROOT, "deploy/settings.ini.template"),
      "utf8",
    );
    entry.settings = join(this.#directory, `${entry.name}.ini`);
    const text = renderTemplate(template, {
      node_name: entry.name,
      zone: "liberia-a",
      ip: entry.host,
      port_range: [7420, 7435],
      limits: { cpu_share: 0.675, cores: 1 },
      listen: {
        front: `${entry.host}:8183`,
        ready: `${entry.host}:8184`,
        control: `${entry.host}:8180`,
      },
      bounds: BOUNDS,
      platform: { addr: `${platform}:8182` },
      cloud: { addr: `${platform}:8183` },
    });
    writeFileSync(entry.settings, text);
  }
}

/** Finds a /24 network of loopback addresses on which nothing listens. */
async function findNetwork() {
  for (let attempt = 0; attempt < 50; attempt++) {
    const draw = (from, to) => from + Math.floor(Math.random() * (to - from));
    const network = `127.${draw(70, 250)}.${draw(1, 250)}`;
    const places = [[1, 8182], [1, 8183], [100, 8080]];
    for (let n = 10; n < 16; n++) {
      places.push([n, 8183], [n, 8184], [n, 7420], [n, 9464]);
    }
    const free = await Promise.all(
      places.map(([host, port]) => isFree(`${network}.${host}`, port)),
    );
    if (free.every(Boolean)) return network;
  }
  throw new Error("no free loopback network");
}

function isFree(host, port) {
  return new Promise((resolve) => {
    const server = createTcpServer();
    server.once("error", () => resolve(false));
    server.listen(port, host, () => server.close(() => resolve(true)));
  });
}

/**
 * Runs a case and ends the process: 0 if the rule held, 1 if it was broken, 2 if
 * the case could not run. `play` returns the list of breaches.
 */
export async function runCase(directory, play) {
  const record = new Record(join(directory, "record.txt"));
  const hasTrouble = process.env.TROUBLE !== "0";
  record.note(hasTrouble ? "with the disruption" : "without the disruption");
  const site = new Site(record);
  const limit = setTimeout(() => {
    record.note("could not run: over the time limit");
    process.exit(2);
  }, 115_000);
  let code = 2;
  try {
    const breaches = await play(site, hasTrouble);
    for (const breach of breaches) record.note(`BROKEN: ${breach}`);
    if (breaches.length === 0) record.note("the rule held");
    code = breaches.length > 0 ? 1 : 0;
  } catch (error) {
    record.note(`could not run: ${error.stack}`);
  }
  clearTimeout(limit);
  if (process.env.KEEP_LOGS) {
    for (const entry of site.entries) {
      writeFileSync(
        join(process.env.KEEP_LOGS, `${entry.name}.log`),
        site.readLog(entry),
      );
    }
  }
  site.stop();
  process.exit(code);
}
