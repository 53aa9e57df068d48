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

/** Largest size of a value, in bytes. */
const MAX_VALUE_BYTES = 1_048_576;

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
  /** Refuses the calls from these addresses with 503. */
  readonly refusedSources = new Set<string>();
  /** Delay of every call, in milliseconds. */
  delayMs = 0;
  /** Duration of every transaction, in milliseconds. */
  transactionMs = 0;
  /** Serves calls but closes the connection instead of answering. */
  losesAnswers = false;
  /** Answers no transaction, and carries it out after this time, in ms. */
  commitDelayMs = 0;
  /** Number of calls so far, refused ones included. */
  calls = 0;

  async start(address: { host: string; port: number }): Promise<void> {
    this.#server = await listen(address, async (request, response, body) => {
      this.calls++;
      const source = request.socket.remoteAddress ?? "";
      if (this.isDown || this.refusedSources.has(source)) {
        return sendJson(response, {}, { status: 503 });
      }
      if (this.delayMs > 0) await sleep(this.delayMs);
      this.#expireLeases();
      const url = new URL(request.url ?? "/", "http://store");
      const [, , call, id] = url.pathname.split("/");
      const { commitDelayMs, transactionMs } = this;
      if (call === "kv-txn" && transactionMs > 0) await sleep(transactionMs);
      if (call === "kv-txn" && commitDelayMs > 0) {
        response.destroy();
        await sleep(commitDelayMs);
        this.#expireLeases();
      }
      const { status = 200, value } = await this.#serve(call, {
        id: Number(id),
        query: url.searchParams,
        body: body ? JSON.parse(body) : {},
      });
      if (this.losesAnswers || response.destroyed) {
        response.destroy();
        return;
      }
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

  /** Removes a key, as the end of the lease of its writer would. */
  remove(key: string): void {
    this.#revision++;
    this.#removeItem(key);
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
      const events = this.#listEvents(after).filter(({ key }) =>
        key.startsWith(prefix)
      );
      if (events.length > 0 || Date.now() >= deadline) {
        return { events, as_of: this.#revision };
      }
      await sleep(10);
    }
  }

  /** Lists the changes after a revision, the oldest first. */
  #listEvents(after: number): StoreEvent[] {
    let first = this.#events.length;
    while (first > 0 && this.#events[first - 1].rev > after) first--;
    return this.#events.slice(first);
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
    const isTooLarge = puts.some(({ value }) =>
      Buffer.from(value, "base64").length > MAX_VALUE_BYTES
    );
    if (isTooLarge) return { status: 400 };
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
