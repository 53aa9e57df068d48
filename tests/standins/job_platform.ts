import { Buffer } from "node:buffer";
import type { Server } from "node:http";
import { listen, sendJson, sleep } from "./http_server.ts";

interface Item {
  key: string;
  value: string;
  rev: number;
  create_rev: number;
  lease: number;
}

interface Change {
  key: string;
  rev: number;
  value?: string;
  removed?: boolean;
}

interface TransactionBody {
  expected_rev?: { key: string; rev: number }[];
  puts?: { key: string; value: string; lease?: number }[];
  deletes?: string[];
}

const PAGE_ITEMS = 500;

/** A stand-in for the users' store, over its published protocol. */
export class StoreStandIn {
  readonly items = new Map<string, Item>();
  readonly #leases = new Map<number, { ttlMs: number; endsAt: number }>();
  readonly #changes: Change[] = [];
  #revision = 1;
  #lastLease = 0;
  #server: Server | undefined;
  /** Refuse every call. */
  isDown = false;
  calls = 0;

  async start(address: { host: string; port: number }): Promise<void> {
    this.#server = await listen(address, async (request, response, body) => {
      this.calls++;
      if (this.isDown) return sendJson(response, {}, { status: 503 });
      this.#expire();
      const url = new URL(request.url ?? "/", "http://store");
      const [, , call, id] = url.pathname.split("/");
      const { status = 200, value } = await this.#serve(call, {
        id: Number(id),
        query: url.searchParams,
        body: body ? JSON.parse(body) : {},
      });
      sendJson(response, value ?? {}, { status });
    });
  }

  stop(): void {
    this.#server?.close();
    this.#server?.closeAllConnections();
  }

  /** Reads as the operator does. */
  read(key: string): unknown {
    const item = this.items.get(key);
    return item && JSON.parse(Buffer.from(item.value, "base64").toString());
  }

  /** Writes as the operator or an endpoint does. */
  put(key: string, value: unknown): void {
    const text = Buffer.from(JSON.stringify(value)).toString("base64");
    this.#revision++;
    this.#put(key, { value: text, lease: 0 });
  }

  async #serve(
    call: string,
    input: {
      id: number;
      query: URLSearchParams;
      body: TransactionBody & { ttl_ms?: number };
    },
  ): Promise<{ status?: number; value?: unknown }> {
    const { query, body, id } = input;
    switch (call) {
      case "kv-key": {
        const item = this.items.get(query.get("key") ?? "");
        return item
          ? { value: { ...item, as_of: this.#revision } }
          : { status: 404 };
      }
      case "kv-range":
        return { value: this.#list(query) };
      case "kv-watch":
        return { value: await this.#watch(query) };
      case "kv-txn":
        return this.#commit(body);
      case "kv-lease": {
        const ttlMs = body.ttl_ms ?? 1_000;
        const lease = ++this.#lastLease;
        this.#leases.set(lease, { ttlMs, endsAt: Date.now() + ttlMs });
        return { value: { lease, ttl_ms: ttlMs } };
      }
      case "kv-keep": {
        const lease = this.#leases.get(id);
        if (!lease) return { status: 404 };
        lease.endsAt = Date.now() + lease.ttlMs;
        return { value: { ttl_ms: lease.ttlMs } };
      }
      case "kv-lease-end":
        this.#endLease(id);
        return {};
      default:
        return { status: 404 };
    }
  }

  #list(query: URLSearchParams): unknown {
    const prefix = query.get("prefix") ?? "";
    const after = query.get("after") ?? "";
    const found = [...this.items.values()]
      .filter(({ key }) => key.startsWith(prefix) && key > after)
      .sort((a, b) => a.key < b.key ? -1 : 1);
    return {
      items: found.slice(0, PAGE_ITEMS),
      truncated: found.length > PAGE_ITEMS,
      as_of: this.#revision,
    };
  }

  async #watch(query: URLSearchParams): Promise<unknown> {
    const prefix = query.get("prefix") ?? "";
    const after = Number(query.get("after"));
    const until = Date.now() + Number(query.get("wait_ms"));
    for (;;) {
      this.#expire();
      const events = this.#changes.filter(({ key, rev }) =>
        rev > after && key.startsWith(prefix)
      );
      if (events.length > 0 || Date.now() >= until) {
        return { events, as_of: this.#revision };
      }
      await sleep(10);
    }
  }

  #commit(body: TransactionBody): { status?: number; value?: unknown } {
    const isMet = (body.expected_rev ?? []).every(({ key, rev }) =>
      (this.items.get(key)?.rev ?? 0) === rev
    );
    if (!isMet) return { status: 412, value: { items: [] } };
    const puts = body.puts ?? [];
    if (puts.some(({ lease }) => lease && !this.#leases.has(lease))) {
      return { status: 404 };
    }
    this.#revision++;
    for (const { key, value, lease } of puts) {
      this.#put(key, { value, lease: lease ?? 0 });
    }
    for (const key of body.deletes ?? []) this.#remove(key);
    return { value: { rev: this.#revision } };
  }

  #put(key: string, put: { value: string; lease: number }): void {
    const rev = this.#revision;
    const created = this.items.get(key)?.create_rev ?? rev;
    this.items.set(key, { key, ...put, rev, create_rev: created });
    this.#changes.push({ key, rev, value: put.value });
  }

  #remove(key: string): void {
    if (!this.items.delete(key)) return;
    this.#changes.push({ key, rev: this.#revision, removed: true });
  }

  #expire(): void {
    for (const [lease, { endsAt }] of this.#leases) {
      if (endsAt <= Date.now()) this.#endLease(lease);
    }
  }

  #endLease(lease: number): void {
    if (!this.#leases.delete(lease)) return;
    for (const item of [...this.items.values()]) {
      if (item.lease !== lease) continue;
      this.#revision++;
      this.#remove(item.key);
    }
  }
}

interface OrderBody {
  task: string;
  run: number;
  fence?: number;
  until_ms?: number;
  last_seen?: number;
  wait_ms?: number;
  ticket?: string;
  percent?: number;
}

type EndedRow = [number, string, number, string, string];

/** A stand-in for one of the users' workers, with its policy tickets. */
export class WorkerStandIn {
  readonly id: string;
  readonly born = Date.now();
  readonly runs = new Map<
    string,
    { run: number; endsAt: number; pace: number }
  >();
  readonly starts: string[] = [];
  #ended: EndedRow[] = [];
  #lastEnd = 0;
  #fence = 0;
  #server: Server | undefined;
  /** How long each task runs, in milliseconds. */
  taskMs = 100;
  /** Percent and last figure of a task, as listed. */
  describeRun: (task: string) => [percent: number, gauge: number] =
    () => [0, 0];
  /** Starts without a ticket are refused. */
  needsTicket = false;

  constructor(id: string) {
    this.id = id;
  }

  async start(address: { host: string; port: number }): Promise<void> {
    this.#server = await listen(address, async (request, response, text) => {
      const body = JSON.parse(text) as OrderBody;
      const reason = this.#findRefusal(request.url ?? "", body);
      const clock_ms = Date.now() - this.born;
      if (reason) {
        return sendJson(response, { clock_ms, reason }, { status: 409 });
      }
      this.#fence = body.fence ?? 0;
      if (request.url?.endsWith("run-start")) this.#startRun(body);
      if (request.url?.endsWith("run-stop")) this.#end(body.task, "stopped");
      if (request.url?.endsWith("pace")) this.#setPace(body);
      if (!request.url?.endsWith("hold")) {
        return sendJson(response, { clock_ms });
      }
      await this.#waitForEnd(body);
      sendJson(response, this.#list());
    });
  }

  stop(): void {
    this.#server?.close();
    this.#server?.closeAllConnections();
  }

  #findRefusal(url: string, body: OrderBody): string | undefined {
    if ((body.fence ?? 0) < this.#fence) return "fence";
    const isStart = url.endsWith("run-start");
    return isStart && this.needsTicket && body.ticket !== `t-${this.id}`
      ? "ticket"
      : undefined;
  }

  #startRun(body: OrderBody): void {
    if (this.runs.get(body.task)?.run === body.run) return;
    this.starts.push(body.task);
    const endsAt = Date.now() + this.taskMs;
    this.runs.set(body.task, { run: body.run, endsAt, pace: 100 });
  }

  #setPace(body: OrderBody): void {
    const run = this.runs.get(body.task);
    if (run?.run === body.run) run.pace = body.percent ?? 100;
  }

  async #waitForEnd(body: OrderBody): Promise<void> {
    const noted = body.last_seen ?? 0;
    this.#ended = this.#ended.filter(([number]) => number > noted);
    const until = Date.now() + (body.wait_ms ?? 0);
    const before = this.#lastEnd;
    do {
      for (const [task, { endsAt }] of [...this.runs]) {
        if (endsAt <= Date.now()) this.#end(task, "done");
      }
      if (this.#lastEnd > before || Date.now() >= until) return;
      await sleep(5);
    } while (this.#server?.listening);
  }

  #end(task: string, how: string): void {
    const run = this.runs.get(task);
    if (!run) return;
    this.runs.delete(task);
    this.#ended.push([++this.#lastEnd, task, run.run, how, ""]);
  }

  #list(): unknown {
    return {
      born: this.born,
      clock_ms: Date.now() - this.born,
      running: [...this.runs].map(([task, { run }]) => [
        task,
        run,
        "",
        ...this.describeRun(task),
      ]),
      ended: this.#ended,
    };
  }
}

/** A stand-in for the policy service: it allows some workers. */
export class PolicyStandIn {
  readonly #allowed: Set<string>;
  #server: Server | undefined;

  constructor(allowed: string[]) {
    this.#allowed = new Set(allowed);
  }

  async start(address: { host: string; port: number }): Promise<void> {
    this.#server = await listen(address, (_request, response, text) => {
      const { workers } = JSON.parse(text) as { workers: string[] };
      const good = workers.filter((id) => this.#allowed.has(id))
        .map((id) => [id, `t-${id}`]);
      sendJson(response, { good, valid_ms: 1_500 });
    });
  }

  stop(): void {
    this.#server?.close();
    this.#server?.closeAllConnections();
  }
}

/** A stand-in for the service for the workers' machines. */
export class VmStandIn {
  readonly machines = new Map<string, { id: string; state: string }>();
  /** Machine and wave of each upkeep that began. */
  readonly begun: [machine: string, wave: number][] = [];
  readonly holders = new Set<string>();
  maxDown = 0;
  #server: Server | undefined;
  /** Length of an upkeep, in milliseconds. */
  upkeepMs = 150;
  /** Called as an upkeep begins: the machine's worker is gone. */
  onDown: (id: string) => void = () => {};

  async start(address: { host: string; port: number }): Promise<void> {
    this.#server = await listen(address, (request, response, text) => {
      const url = new URL(request.url ?? "/", "http://vms");
      if (request.method === "GET") {
        return sendJson(response, this.#list(url.searchParams));
      }
      this.holders.add(String(request.headers["duty-holder"]));
      const { machine, wave } = JSON.parse(text);
      const known = this.machines.get(machine);
      if (!known) return sendJson(response, {}, { status: 400 });
      const isDone = this.begun.some(([name, number]) =>
        name === machine && number === wave
      );
      if (!isDone) this.#begin(machine, wave);
      sendJson(response, {});
    });
  }

  stop(): void {
    this.#server?.close();
    this.#server?.closeAllConnections();
  }

  add(machine: string, id: string): void {
    this.machines.set(machine, { id, state: "up" });
  }

  /** One machine a page: readers must follow the token. */
  #list(query: URLSearchParams): unknown {
    const names = [...this.machines.keys()];
    const index = Number(query.get("page_token") ?? 0);
    const machine = names[index];
    const next = index + 1 < names.length ? String(index + 1) : null;
    return {
      machines: machine ? [{ machine, ...this.machines.get(machine) }] : [],
      next_token: next,
    };
  }

  #begin(machine: string, wave: number): void {
    const known = this.machines.get(machine)!;
    this.begun.push([machine, wave]);
    this.onDown(known.id);
    this.machines.set(machine, { ...known, state: "upkeep" });
    const down = [...this.machines.values()].filter(({ state }) =>
      state !== "up"
    );
    this.maxDown = Math.max(this.maxDown, down.length);
    setTimeout(() => {
      this.machines.set(machine, { id: `${known.id}n`, state: "up" });
    }, this.upkeepMs);
  }
}
