/**
 * A small site for the scripts of the third review: the platform's store, advice
 * service and machine list, workers, and entries as processes of the deploy file.
 * All behave as a sound platform unless a case says otherwise. Node's own modules only.
 */
import { Buffer } from "node:buffer";
import { spawn } from "node:child_process";
import {
  appendFileSync,
  mkdtempSync,
  openSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from "node:fs";
import http from "node:http";
import net from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";

export const STORE_PORT = 8182;
const WORKER_PORT = 8300;
const FRONT_PORT = 8183;
const READY_PORT = 8184;
const PEER_PORT = 7420;
const STORE_ANSWER_MS = 4;
const BEAT_MS = 1_500;
const HOLD_MAX_MS = 6_000;
const STOP_MS = 400;
const MAX_PAGE_ITEMS = 500;
const MAX_PAGE_BYTES = 1_000_000;
const MAX_ENDS = 500;

export const HOST = "desk.example";
export const KEY = "key-norte";

export function sleep(ms) {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

function listen(host, port, handler) {
  const server = http.createServer((request, response) => {
    const chunks = [];
    request.on("data", (chunk) => chunks.push(chunk));
    request.on("error", () => response.destroy());
    request.on("end", () => {
      const text = Buffer.concat(chunks).toString();
      Promise.resolve(handler(request, response, text ? JSON.parse(text) : {}))
        .catch(() => response.destroy());
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

/** The platform's key-value store, as PROTOCOL.md describes it. */
export class Store {
  items = new Map();
  #leases = new Map();
  #events = [];
  #revision = 1;
  #lastLease = 0;
  #watchers = new Set();

  async start(host) {
    this.server = await listen(
      host,
      STORE_PORT,
      (request, response, body) => this.#serve(request, response, body),
    );
    this.timer = setInterval(() => this.#expire(), 10);
  }

  stop() {
    clearInterval(this.timer);
    this.server?.close();
    this.server?.closeAllConnections();
  }

  put(key, value) {
    const text = Buffer.from(JSON.stringify(value)).toString("base64");
    this.#revision++;
    this.#set(key, text, 0);
    this.#wake();
  }

  remove(key) {
    if (!this.items.has(key)) return;
    this.#revision++;
    this.#delete(key);
    this.#wake();
  }

  read(key) {
    const item = this.items.get(key);
    return item && JSON.parse(Buffer.from(item.value, "base64").toString());
  }

  #set(key, value, lease) {
    const create = this.items.get(key)?.create_rev ?? this.#revision;
    const rev = this.#revision;
    this.items.set(key, { key, value, rev, create_rev: create, lease });
    this.#events.push({ key, rev, value, create_rev: create, lease });
    if (this.#events.length > 20_000) this.#events.splice(0, 5_000);
  }

  #delete(key) {
    if (!this.items.delete(key)) return;
    this.#events.push({ key, rev: this.#revision, removed: true });
  }

  #wake() {
    for (const wake of [...this.#watchers]) wake();
  }

  #expire() {
    for (const [id, { endsAt }] of [...this.#leases]) {
      if (endsAt <= Date.now()) this.#endLease(id);
    }
  }

  #endLease(id) {
    if (!this.#leases.delete(id)) return;
    for (const { key, lease } of [...this.items.values()]) {
      if (lease !== id) continue;
      this.#revision++;
      this.#delete(key);
    }
    this.#wake();
  }

  async #serve(request, response, body) {
    await sleep(STORE_ANSWER_MS);
    const url = new URL(request.url, "http://store");
    const [, , call, id] = url.pathname.split("/");
    this.#expire();
    if (call === "kv-watch") return this.#watch(url.searchParams, response);
    const [status, value] = this.#call(call, Number(id), {
      query: url.searchParams,
      body,
    });
    send(response, status, value);
  }

  #call(call, id, { query, body }) {
    switch (call) {
      case "kv-key": {
        const item = this.items.get(query.get("key"));
        return item ? [200, { ...item, as_of: this.#revision }] : [404];
      }
      case "kv-range":
        return [200, this.#range(query)];
      case "kv-txn":
        return this.#commit(body);
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
        return [200, { lease: id, ttl_ms: lease.ttlMs }];
      }
      case "kv-lease-end":
        if (!this.#leases.has(id)) return [404];
        this.#endLease(id);
        return [200];
      default:
        return [404];
    }
  }

  #range(query) {
    const prefix = query.get("prefix") ?? "";
    const after = query.get("after") ?? "";
    const matching = [...this.items.values()]
      .filter(({ key }) => key.startsWith(prefix) && key > after)
      .sort((a, b) => a.key < b.key ? -1 : 1);
    const items = [];
    let bytes = 0;
    for (const item of matching) {
      bytes += item.value.length;
      const isFull = items.length === MAX_PAGE_ITEMS || bytes > MAX_PAGE_BYTES;
      if (items.length > 0 && isFull) break;
      items.push(item);
    }
    return {
      items,
      truncated: items.length < matching.length,
      as_of: this.#revision,
    };
  }

  #commit({ expected_rev = [], puts = [], deletes = [] }) {
    if (expected_rev.length + puts.length + deletes.length > 32) return [400];
    const isStale = expected_rev.some(({ key, rev }) =>
      (this.items.get(key)?.rev ?? 0) !== rev
    );
    if (isStale) {
      const items = expected_rev.flatMap(({ key }) =>
        this.items.get(key) ?? []
      );
      return [412, { items }];
    }
    if (puts.some(({ lease }) => lease && !this.#leases.has(lease))) {
      return [404];
    }
    if (puts.some(({ value }) => value.length * 0.75 > 1_048_576)) return [400];
    this.#revision++;
    for (const { key, value, lease } of puts) this.#set(key, value, lease ?? 0);
    for (const key of deletes) this.#delete(key);
    this.#wake();
    return [200, { rev: this.#revision }];
  }

  async #watch(query, response) {
    const prefix = query.get("prefix") ?? "";
    const after = Number(query.get("after"));
    const until = Date.now() + Number(query.get("wait_ms"));
    for (;;) {
      let first = this.#events.length;
      while (first > 0 && this.#events[first - 1].rev > after) first--;
      const events = this.#events.slice(first)
        .filter(({ key }) => key.startsWith(prefix));
      if (events.length > 0 || Date.now() >= until) {
        return send(response, 200, { events, as_of: this.#revision });
      }
      await new Promise((resolve) => {
        const wake = () => {
          clearTimeout(timer);
          this.#watchers.delete(wake);
          resolve();
        };
        const timer = setTimeout(wake, until - Date.now());
        this.#watchers.add(wake);
      });
    }
  }
}

/** A worker: one life of a machine, as PROTOCOL.md describes it. */
export class Worker {
  runs = new Map();
  /** Work of a task in ms, or undefined for one that lasts. */
  measureWork = () => undefined;
  /** Time after which a task fails by itself, in ms; undefined: it doesn't. */
  measureFailure = () => undefined;
  /**
   * Returns after how many ms an order without an answer is carried out; undefined: it is
   * carried out and answered at once.
   */
  delayOrder = () => undefined;
  #fence = 0;
  #ended = [];
  #lastEnd = 0;
  #leaseUntil = 0;
  #refused = new Map();
  #isDead = false;
  #wakers = new Set();

  constructor(site, { id, host, room, labels, zone = "a" }) {
    Object.assign(this, { site, id, host, room, labels, zone });
    this.bornAt = Date.now();
    this.bornSteady = performance.now();
  }

  get clock() {
    return Math.floor(1_000_000 + performance.now() - this.bornSteady);
  }

  async start() {
    this.server = await listen(
      this.host,
      WORKER_PORT,
      (request, response, body) => this.#serve(request, response, body),
    );
    this.timer = setInterval(() => this.#tick(), 10);
    this.report();
    this.beat = setInterval(() => this.report(), BEAT_MS);
  }

  report(change = {}) {
    if (this.#isDead) return;
    this.seq = (this.seq ?? 0) + 1;
    this.site.store.put(`servers/${this.id}`, {
      service: "desk",
      addr: `${this.host}:${WORKER_PORT}`,
      zone: this.zone,
      version: "1",
      slots: 8,
      state: "ready",
      cold_remaining_ms: 0,
      seq: this.seq,
      born: this.bornAt,
      room: this.room,
      labels: this.labels,
      ...change,
    });
  }

  /** Ends the worker for good; its entry goes after three beats of silence. */
  crash() {
    this.#isDead = true;
    for (const run of this.runs.values()) {
      this.site.note(`${this.id} lost ${run.task} run ${run.run}`);
      this.site.runEnded(this, run, "lost");
    }
    this.runs.clear();
    this.stop();
    setTimeout(
      () => this.site.store.remove(`servers/${this.id}`),
      3 * BEAT_MS,
    );
  }

  stop() {
    clearInterval(this.timer);
    clearInterval(this.beat);
    this.server?.close();
    this.server?.closeAllConnections();
  }

  #tick() {
    const now = Date.now();
    for (const run of [...this.runs.values()]) {
      if (run.stopAt !== undefined && now >= run.stopAt) {
        this.#end(run, "stopped");
      } else if (
        run.failure !== undefined && now - run.startedAt >= run.failure
      ) {
        this.#end(run, "failed");
      } else if (run.work !== undefined && now - run.startedAt >= run.work) {
        this.#end(run, "done");
      }
    }
    if (this.clock < this.#leaseUntil) return;
    for (const run of [...this.runs.values()]) this.#end(run, "lapsed");
  }

  #end(run, how) {
    this.runs.delete(run.task);
    this.#lastEnd++;
    this.#ended.push([this.#lastEnd, run.task, run.run, how, ""]);
    this.#refuse(run.task, run.run);
    this.site.note(`${this.id} ended ${run.task} run ${run.run} ${how}`);
    this.site.runEnded(this, run, how);
    for (const wake of [...this.#wakers]) wake();
  }

  #refuse(task, run) {
    this.#refused.set(task, Math.max(this.#refused.get(task) ?? 0, run));
  }

  #extend(until) {
    if (!until) return;
    const limit = this.clock + HOLD_MAX_MS;
    this.#leaseUntil = Math.max(this.#leaseUntil, Math.min(until, limit));
  }

  async #serve(request, response, body) {
    const call = request.url.split("/").at(-1);
    if ((request.headers["expect-instance"] ?? this.id) !== this.id) {
      return send(response, 421, { clock_ms: this.clock });
    }
    const delayMs = this.delayOrder(call, body);
    if (delayMs !== undefined) {
      this.site.note(`${this.id} ${call} unanswered ${JSON.stringify(body)}`);
      setTimeout(() => {
        if (this.#isDead) return;
        const reason = this.#carryOut(call, body);
        this.site.note(
          `${this.id} ${call} carried out late (${reason ?? "done"}) ${
            JSON.stringify(body)
          }`,
        );
        this.site.carriedOutLate(this, call, body, reason);
      }, delayMs);
      return;
    }
    const reason = this.#carryOut(call, body);
    if (reason) {
      return send(response, 409, { clock_ms: this.clock, reason });
    }
    if (call !== "hold") return send(response, 200, { clock_ms: this.clock });
    if (body.wait_ms > 0) await this.#waitForEnd(body.wait_ms);
    send(response, 200, this.#list());
  }

  async #waitForEnd(waitMs) {
    const hasNew = this.#ended.length > 0;
    if (hasNew) return;
    await new Promise((resolve) => {
      const wake = () => {
        clearTimeout(timer);
        this.#wakers.delete(wake);
        resolve();
      };
      const timer = setTimeout(wake, waitMs);
      this.#wakers.add(wake);
    });
  }

  #list() {
    return {
      clock_ms: this.clock,
      born: this.bornAt,
      running: [...this.runs.values()].map((run) => [
        run.task,
        run.run,
        "",
        this.#measurePercent(run),
        0,
      ]),
      ended: this.#ended.slice(0, MAX_ENDS),
    };
  }

  #measurePercent(run) {
    const elapsed = Date.now() - run.startedAt;
    if (run.work === undefined) return elapsed > 300 ? 100 : 0;
    return Math.min(99, Math.floor(100 * elapsed / run.work));
  }

  #carryOut(call, body) {
    const fence = body.fence ?? 0;
    if (fence < this.#fence) return "fence";
    this.#fence = fence;
    if (call === "run-start") return this.#startRun(body);
    const run = this.runs.get(body.task);
    if (call === "run-stop") {
      this.#refuse(body.task, body.run);
      if (run?.run === body.run) run.stopAt ??= Date.now() + STOP_MS / 2;
    }
    if (call === "hold") {
      this.#extend(body.until_ms);
      this.#ended = this.#ended.filter(([n]) => n > (body.last_seen ?? 0));
    }
    return undefined;
  }

  #startRun({ task, run, task_spec: spec, until_ms: until }) {
    if (until <= this.clock) return "late";
    this.#extend(until);
    if (this.runs.get(task)?.run === run) return undefined;
    if (run <= (this.#refused.get(task) ?? 0)) return "old";
    const entry = {
      task,
      run,
      spec,
      work: this.measureWork(task, spec),
      failure: this.measureFailure(task, spec),
      startedAt: Date.now(),
    };
    this.runs.set(task, entry);
    this.site.note(`${this.id} started ${task} run ${run}`);
    this.site.runStarted(this, entry);
    return undefined;
  }
}

/** Renders the template of the deploy file's settings from nested values. */
function renderTemplate(template, values) {
  const find = (name, scopes) => {
    if (name === ".") return scopes[0];
    for (const scope of scopes) {
      let value = scope;
      for (const part of name.split(".")) value = value?.[part];
      if (value !== undefined) return value;
    }
    return undefined;
  };
  const render = (text, scopes) =>
    text
      .replace(
        /\{\{#([\w.]+)\}\}([\s\S]*?)\{\{\/\1\}\}\n?/g,
        (_match, name, inner) => {
          const value = find(name, scopes);
          if (value === undefined || value === "" || value === false) return "";
          return render(inner, [value, ...scopes]);
        },
      )
      .replace(/\{\{([\w.]+)\}\}/g, (_match, name) => {
        const value = find(name, scopes);
        return value === undefined ? "" : String(value);
      });
  return render(template, [values]);
}

/** Entries, workers and the platform on loopback addresses of one network. */
export class Site {
  store = new Store();
  workers = [];
  entries = [];
  runStarted = () => {};
  runEnded = () => {};
  carriedOutLate = () => {};

  constructor(record) {
    this.record = record;
    writeFileSync(record, "");
    this.startedAt = Date.now();
    this.directory = mkdtempSync(join(tmpdir(), "review-3-"));
    process.once("exit", () => this.stop());
    for (const signal of ["SIGINT", "SIGTERM"]) {
      process.once(signal, () => process.exit(2));
    }
  }

  note(text) {
    const at = ((Date.now() - this.startedAt) / 1_000).toFixed(3);
    appendFileSync(this.record, `${at.padStart(8)} ${text}\n`);
  }

  async start({ entries, bounds = {} }) {
    await this.#chooseNetwork();
    await this.store.start(`127.${this.network}.0.1`);
    this.cloud = await listen(
      `127.${this.network}.0.2`,
      STORE_PORT,
      (request, response) => this.#listMachines(request, response),
    );
    this.bounds = {
      lease_ms: 3_000,
      hold_max_ms: 6_000,
      revoke_ms: 5_000,
      status_s: 120,
      contact_ms: 3_000,
      ...bounds,
    };
    for (let n = 0; n < entries; n++) this.addEntry();
  }

  /** Answers a reading of the list of machines; no wave is ever asked for. */
  #listMachines(request, response) {
    if (request.method !== "GET") return send(response, 400, {});
    const machines = this.workers.map(({ id, host, zone, labels, room }) => ({
      machine: `m-${host}`,
      pool: "desk",
      state: "up",
      zone,
      labels,
      room,
      id,
    }));
    send(response, 200, { machines, next_token: null });
  }

  async #chooseNetwork() {
    for (let attempt = 0; attempt < 50; attempt++) {
      this.network = 30 + Math.floor(Math.random() * 190);
      const probe = net.createServer();
      const isFree = await new Promise((resolve) => {
        probe.once("error", () => resolve(false));
        probe.listen(
          STORE_PORT,
          `127.${this.network}.0.1`,
          () => resolve(true),
        );
      });
      if (!isFree) continue;
      await new Promise((resolve) => probe.close(resolve));
      return;
    }
    throw new Error("no free network");
  }

  addEntry() {
    const n = this.entries.length + 1;
    const ip = `127.${this.network}.1.${n}`;
    const values = {
      node_name: `edge-a-${n}`,
      zone: "a",
      ip,
      port_range: [PEER_PORT, PEER_PORT + 15],
      listen: { front: `${ip}:${FRONT_PORT}`, ready: `${ip}:${READY_PORT}` },
      limits: { cpu_share: 0.675, cores: 1 },
      platform: { addr: `127.${this.network}.0.1:${STORE_PORT}` },
      cloud: { addr: `127.${this.network}.0.2:${STORE_PORT}` },
      bounds: this.bounds,
    };
    const template = readFileSync("deploy/settings.ini.template", "utf8");
    const settings = join(this.directory, `edge-${n}.ini`);
    writeFileSync(settings, renderTemplate(template, values));
    const entry = { name: values.node_name, ip, settings, child: undefined };
    this.entries.push(entry);
    this.startEntry(entry);
    return entry;
  }

  startEntry(entry) {
    const deploy = readFileSync("deploy/system.toml", "utf8");
    const [, command] = /^run = "([^"]+)"/m.exec(deploy);
    const [program, ...args] = command.split(" ");
    const log = openSync(join(this.directory, `${entry.name}.log`), "a");
    const { PATH, HOME, LANG } = process.env;
    const child = spawn(program, args, {
      stdio: ["ignore", log, log],
      env: { PATH, HOME, LANG, BAOBABHEAD_NODE_FILE: entry.settings },
    });
    entry.child = child;
    child.once("exit", (code, signal) => {
      this.note(`${entry.name} exited ${code ?? signal}`);
      if (entry.child !== child) return;
      entry.child = undefined;
      entry.onExit?.(code, signal);
    });
    this.note(`${entry.name} runs as a process`);
  }

  kill(entry) {
    this.note(`${entry.name} is killed`);
    entry.child?.kill("SIGKILL");
  }

  readLog(entry) {
    return readFileSync(join(this.directory, `${entry.name}.log`), "utf8");
  }

  stop() {
    for (const { child } of this.entries) child?.kill("SIGKILL");
    for (const worker of this.workers) worker.stop();
    this.cloud?.close();
    this.store.stop();
    if (!process.env.KEEP_LOGS) {
      rmSync(this.directory, { recursive: true, force: true });
    }
  }

  async addWorker(options) {
    const n = this.workers.length + 1;
    const host = `127.${this.network}.2.${n}`;
    const worker = new Worker(this, {
      id: `i-${n}-${Math.random().toString(16).slice(2, 8)}`,
      host,
      room: { cpu: 16_000, mem_mb: 32_768 },
      labels: ["a", `r${n}`],
      ...options,
    });
    await worker.start();
    this.workers.push(worker);
    return worker;
  }

  applyConfig({ routes, tenants, version = 1 }) {
    this.store.put("op/config", {
      version,
      routes: routes.map((route) => ({
        host: HOST,
        service: "desk",
        priority: 1,
        attempts: 3,
        stretch: 4,
        target_latency_ms: 1_000,
        ...route,
      })),
      services: [{ name: "desk", admission_check: false }],
      tenants: tenants ?? [
        { name: "norte", api_keys: [KEY], weight: 1_000, cap: {} },
      ],
      limits: {},
    });
  }

  /** Starts the next worker of a machine. */
  async replaceWorker(n, options) {
    const worker = new Worker(this, options);
    await worker.start();
    this.workers[n] = worker;
    this.note(`${worker.id} is up`);
  }

  /** Returns the entry that holds the owner's key. */
  findOwner() {
    const name = this.store.read("baobabhead/cell/owner")?.entry;
    return this.entries.find((entry) => entry.name === name);
  }

  async waitReady(entries = this.entries) {
    for (const entry of entries) {
      await this.waitFor(async () => {
        const { status } = await request({
          host: entry.ip,
          port: READY_PORT,
          path: "/baobabhead/readiness",
        });
        return status === 200;
      }, 15_000);
    }
  }

  async waitFor(isMet, withinMs) {
    const until = Date.now() + withinMs;
    while (!await isMet()) {
      if (Date.now() > until) throw new Error("waited for too long");
      await sleep(20);
    }
  }

  /** Sends a consumer's call to an entry; status 0: no complete answer. */
  async call(
    entry,
    method,
    path,
    { body, key = KEY, deadlineMs = 3_000 } = {},
  ) {
    return await request({
      host: entry.ip,
      port: FRONT_PORT,
      method,
      path,
      body,
      headers: { host: HOST, "x-api-key": key, "deadline-ms": deadlineMs },
      timeoutMs: deadlineMs,
    });
  }

  /** Hands a job in as a consumer does, with retries; returns the last status. */
  async submit(path, body, { entries = this.entries, tries = 5 } = {}) {
    let status = 0;
    for (let attempt = 0; attempt < tries; attempt++) {
      const entry = entries[Math.floor(Math.random() * entries.length)];
      ({ status } = await this.call(entry, "POST", path, { body }));
      if (status === 200 || status === 400 || status === 404) return status;
      await sleep(300);
    }
    return status;
  }
}

const agent = new http.Agent({ keepAlive: true, maxSockets: 64 });

export function request({ body, timeoutMs = 2_000, ...options }) {
  return new Promise((resolve) => {
    const finish = (status, text = "") => {
      clearTimeout(timer);
      let value;
      try {
        value = JSON.parse(text);
      } catch {
        value = undefined;
      }
      resolve({ status, body: value });
    };
    const call = http.request({ agent, ...options }, (response) => {
      const chunks = [];
      response.on("data", (chunk) => chunks.push(chunk));
      response.on("error", () => finish(0));
      response.on(
        "end",
        () => finish(response.statusCode, Buffer.concat(chunks).toString()),
      );
    });
    const timer = setTimeout(() => call.destroy(new Error("late")), timeoutMs);
    call.on("error", () => finish(0));
    if (body !== undefined) {
      const text = JSON.stringify(body);
      call.setHeader("content-type", "application/json");
      call.setHeader("content-length", Buffer.byteLength(text));
      call.write(text);
    }
    call.end();
  });
}

let lastId = Math.floor(Math.random() * 2 ** 40);

/** Makes an id of 16 hexadecimal digits. */
export function makeId() {
  return (++lastId).toString(16).padStart(16, "0");
}

/**
 * Runs a case and ends the process: 1 if the rule was broken, 0 if it held, 2 if the case
 * couldn't run. `run` returns the breaches that it saw. The first argument of the command is
 * the record, the second is 0 for a run without the disruption.
 */
export async function runCase(record, run) {
  const site = new Site(record);
  const hasTrouble = process.argv[3] !== "0";
  site.note(hasTrouble ? "with the disruption" : "without the disruption");
  const watchdog = setTimeout(() => {
    site.note("the case took too long");
    process.exit(2);
  }, 118_000);
  try {
    const breaches = await run(site, hasTrouble);
    for (const breach of breaches) site.note(`BROKEN ${breach}`);
    site.note(breaches.length > 0 ? "the rule was broken" : "the rule held");
    process.exitCode = breaches.length > 0 ? 1 : 0;
  } catch (error) {
    site.note(`could not run: ${error.stack}`);
    process.exitCode = 2;
  }
  clearTimeout(watchdog);
  process.exit();
}
