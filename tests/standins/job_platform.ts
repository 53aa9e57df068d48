import { Buffer } from "node:buffer";
import type { Server } from "node:http";
import { listen, sendJson, sleep } from "./http_server.ts";

/** A stored key with its value in base64, as sent to clients. */
interface StoredItem {
  key: string;
  value: string;
  rev: number;
  create_rev: number;
  lease: number;
}

/** A change of a key, as sent to watchers. */
interface StoreEvent {
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

const MAX_PAGE_ITEMS = 500;

/** Stand-in for the platform's key-value store. */
export class StoreStandIn {
  readonly items = new Map<string, StoredItem>();
  readonly #leases = new Map<number, { ttlMs: number; endsAt: number }>();
  readonly #events: StoreEvent[] = [];
  #revision = 1;
  #lastLease = 0;
  #server: Server | undefined;
  /** Refuses every call with 503. */
  isDown = false;
  /** Number of calls so far, refused ones included. */
  calls = 0;

  async start(address: { host: string; port: number }): Promise<void> {
    this.#server = await listen(address, async (request, response, body) => {
      this.calls++;
      if (this.isDown) return sendJson(response, {}, { status: 503 });
      this.#expireLeases();
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

  /** Returns the decoded value of a key, or undefined. */
  read(key: string): unknown {
    const item = this.items.get(key);
    return item && JSON.parse(Buffer.from(item.value, "base64").toString());
  }

  /** Writes a key directly, as an operator's tool or an endpoint would. */
  put(key: string, value: unknown): void {
    const text = Buffer.from(JSON.stringify(value)).toString("base64");
    this.#revision++;
    this.#setItem(key, { value: text, lease: 0 });
  }

  async #serve(
    call: string,
    request: {
      id: number;
      query: URLSearchParams;
      body: TransactionBody & { ttl_ms?: number };
    },
  ): Promise<{ status?: number; value?: unknown }> {
    const { query, body, id } = request;
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
    const matchingItems = [...this.items.values()]
      .filter(({ key }) => key.startsWith(prefix) && key > after)
      .sort((a, b) => a.key < b.key ? -1 : 1);
    return {
      items: matchingItems.slice(0, MAX_PAGE_ITEMS),
      truncated: matchingItems.length > MAX_PAGE_ITEMS,
      as_of: this.#revision,
    };
  }

  async #watch(query: URLSearchParams): Promise<unknown> {
    const prefix = query.get("prefix") ?? "";
    const after = Number(query.get("after"));
    const deadline = Date.now() + Number(query.get("wait_ms"));
    for (;;) {
      this.#expireLeases();
      const events = this.#events.filter(({ key, rev }) =>
        rev > after && key.startsWith(prefix)
      );
      if (events.length > 0 || Date.now() >= deadline) {
        return { events, as_of: this.#revision };
      }
      await sleep(10);
    }
  }

  #commit(body: TransactionBody): { status?: number; value?: unknown } {
    const hasExpectedRevisions = (body.expected_rev ?? []).every((
      { key, rev },
    ) => (this.items.get(key)?.rev ?? 0) === rev);
    if (!hasExpectedRevisions) return { status: 412, value: { items: [] } };
    const puts = body.puts ?? [];
    if (puts.some(({ lease }) => lease && !this.#leases.has(lease))) {
      return { status: 404 };
    }
    this.#revision++;
    for (const { key, value, lease } of puts) {
      this.#setItem(key, { value, lease: lease ?? 0 });
    }
    for (const key of body.deletes ?? []) this.#removeItem(key);
    return { value: { rev: this.#revision } };
  }

  #setItem(key: string, item: { value: string; lease: number }): void {
    const rev = this.#revision;
    const createRevision = this.items.get(key)?.create_rev ?? rev;
    this.items.set(key, { key, ...item, rev, create_rev: createRevision });
    this.#events.push({ key, rev, value: item.value });
  }

  #removeItem(key: string): void {
    if (!this.items.delete(key)) return;
    this.#events.push({ key, rev: this.#revision, removed: true });
  }

  #expireLeases(): void {
    for (const [lease, { endsAt }] of this.#leases) {
      if (endsAt <= Date.now()) this.#endLease(lease);
    }
  }

  #endLease(lease: number): void {
    if (!this.#leases.delete(lease)) return;
    for (const item of [...this.items.values()]) {
      if (item.lease !== lease) continue;
      this.#revision++;
      this.#removeItem(item.key);
    }
  }
}

/** Body of a call to an endpoint; which fields are set depends on the call. */
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

/** An ended run: number of the end, task, run, kind of end, checkpoint. */
type WireEndedRun = [number, string, number, string, string];

/** Stand-in for one of the platform's endpoints. */
export class EndpointStandIn {
  readonly id: string;
  /** Start of the endpoint's lifetime, in Unix milliseconds. */
  readonly born = Date.now();
  /** Runs in progress by task; `pace` is in percent. */
  readonly runs = new Map<
    string,
    { run: number; endsAt: number; pace: number }
  >();
  /** Task of each run that was started, in order. */
  readonly starts: string[] = [];
  /** Ended runs that the owner has not yet acknowledged. */
  #endedRuns: WireEndedRun[] = [];
  #lastEndNumber = 0;
  #fence = 0;
  #server: Server | undefined;
  /** Duration of each run, in milliseconds. */
  runMs = 100;
  /** Returns the progress in percent and the gauge of a task's run. */
  measureRun: (task: string) => [percent: number, gauge: number] = () => [0, 0];
  /** Refuses starts without the ticket of the policy service. */
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
      if (request.url?.endsWith("run-stop")) this.#endRun(body.task, "stopped");
      if (request.url?.endsWith("pace")) this.#setPace(body);
      if (!request.url?.endsWith("hold")) {
        return sendJson(response, { clock_ms });
      }
      await this.#waitForRunEnd(body);
      sendJson(response, this.#listRuns());
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
    const endsAt = Date.now() + this.runMs;
    this.runs.set(body.task, { run: body.run, endsAt, pace: 100 });
  }

  #setPace(body: OrderBody): void {
    const run = this.runs.get(body.task);
    if (run?.run === body.run) run.pace = body.percent ?? 100;
  }

  /** Drops acknowledged ends, then waits until a run ends or `wait_ms` passes. */
  async #waitForRunEnd(body: OrderBody): Promise<void> {
    const acknowledgedEnd = body.last_seen ?? 0;
    this.#endedRuns = this.#endedRuns.filter(([number]) =>
      number > acknowledgedEnd
    );
    const deadline = Date.now() + (body.wait_ms ?? 0);
    const initialEndNumber = this.#lastEndNumber;
    do {
      for (const [task, { endsAt }] of [...this.runs]) {
        if (endsAt <= Date.now()) this.#endRun(task, "done");
      }
      if (this.#lastEndNumber > initialEndNumber || Date.now() >= deadline) {
        return;
      }
      await sleep(5);
    } while (this.#server?.listening);
  }

  #endRun(task: string, endKind: string): void {
    const run = this.runs.get(task);
    if (!run) return;
    this.runs.delete(task);
    this.#endedRuns.push([++this.#lastEndNumber, task, run.run, endKind, ""]);
  }

  #listRuns(): unknown {
    return {
      born: this.born,
      clock_ms: Date.now() - this.born,
      running: [...this.runs].map(([task, { run }]) => [
        task,
        run,
        "",
        ...this.measureRun(task),
      ]),
      ended: this.#endedRuns,
    };
  }
}

/** Stand-in for the policy service; returns tickets for allowed endpoints. */
export class PolicyServiceStandIn {
  readonly #allowedEndpoints: Set<string>;
  #server: Server | undefined;

  constructor(allowedEndpoints: string[]) {
    this.#allowedEndpoints = new Set(allowedEndpoints);
  }

  async start(address: { host: string; port: number }): Promise<void> {
    this.#server = await listen(address, (_request, response, text) => {
      const { workers: endpoints } = JSON.parse(text) as { workers: string[] };
      const tickets = endpoints.filter((id) => this.#allowedEndpoints.has(id))
        .map((id) => [id, `t-${id}`]);
      sendJson(response, { good: tickets, valid_ms: 1_500 });
    });
  }

  stop(): void {
    this.#server?.close();
    this.#server?.closeAllConnections();
  }
}

/** Stand-in for the platform's service for the VMs of endpoints. */
export class VmServiceStandIn {
  /** VMs by name; `id` is the id of the VM's endpoint. */
  readonly vms = new Map<string, { id: string; state: string }>();
  /** VM and wave of each upkeep that began, in order. */
  readonly startedUpkeeps: [vmName: string, wave: number][] = [];
  /** Owners of the cell that requested an upkeep. */
  readonly upkeepOwners = new Set<string>();
  /** Highest number of VMs that were down at the same time. */
  maxDown = 0;
  #server: Server | undefined;
  /** Duration of an upkeep, in milliseconds. */
  upkeepMs = 150;
  /** Called with the id of the VM's endpoint when an upkeep begins. */
  onUpkeepStart: (endpointId: string) => void = () => {};

  async start(address: { host: string; port: number }): Promise<void> {
    this.#server = await listen(address, (request, response, text) => {
      const url = new URL(request.url ?? "/", "http://vms");
      if (request.method === "GET") {
        return sendJson(response, this.#list(url.searchParams));
      }
      this.upkeepOwners.add(String(request.headers["duty-holder"]));
      const { machine: vmName, wave } = JSON.parse(text);
      const vm = this.vms.get(vmName);
      if (!vm) return sendJson(response, {}, { status: 400 });
      const hasBegun = this.startedUpkeeps.some(([name, number]) =>
        name === vmName && number === wave
      );
      if (!hasBegun) this.#beginUpkeep(vmName, wave);
      sendJson(response, {});
    });
  }

  stop(): void {
    this.#server?.close();
    this.#server?.closeAllConnections();
  }

  add(vmName: string, id: string): void {
    this.vms.set(vmName, { id, state: "up" });
  }

  /** Returns pages of one VM each, so that clients must follow the page token. */
  #list(query: URLSearchParams): unknown {
    const vmNames = [...this.vms.keys()];
    const index = Number(query.get("page_token") ?? 0);
    const vmName = vmNames[index];
    const nextToken = index + 1 < vmNames.length ? String(index + 1) : null;
    return {
      machines: vmName ? [{ machine: vmName, ...this.vms.get(vmName) }] : [],
      next_token: nextToken,
    };
  }

  #beginUpkeep(vmName: string, wave: number): void {
    const vm = this.vms.get(vmName)!;
    this.startedUpkeeps.push([vmName, wave]);
    this.onUpkeepStart(vm.id);
    this.vms.set(vmName, { ...vm, state: "upkeep" });
    const unavailableVms = [...this.vms.values()].filter(({ state }) =>
      state !== "up"
    );
    this.maxDown = Math.max(this.maxDown, unavailableVms.length);
    // The VM comes back with a new lifetime of its endpoint, under another id.
    setTimeout(() => {
      this.vms.set(vmName, { id: `${vm.id}n`, state: "up" });
    }, this.upkeepMs);
  }
}
