/**
 * Stand-in for the platform: a key-value store with the transactions, leases
 * and watches of etcd's JSON gateway, and a VM list that can show changes late.
 * `POST /control` on the store's address sets faults and returns the number of
 * calls so far.
 *
 * Usage: node platform.js HOST STORE_PORT VM_LIST_PORT VMS_FILE
 */
import { Buffer } from "node:buffer";
import { readFileSync } from "node:fs";
import type { IncomingMessage, ServerResponse } from "node:http";
import process from "node:process";
import { listen, sendJson, sleep } from "./http_server.ts";

/** Faults to inject into the platform; omitted fields keep their value. */
export interface PlatformFaults {
  /** Closes every connection to the store without an answer. */
  storeDown?: boolean;
  /** Closes every connection to the VM list without an answer. */
  vmListDown?: boolean;
  /** Delay of transactions and VM list answers, in milliseconds. */
  slowMs?: number;
  /** Number of upcoming commits to apply without sending their answer. */
  loseAnswers?: number;
  /** Address prefixes; connections from matching sources are closed. */
  cutSources?: string[];
  /** Ids of VMs to remove from the list. */
  removeVms?: string[];
  /** Ids of VMs to mark as leaving. */
  leavingVms?: string[];
  /** Delay until a change appears in the VM list, in milliseconds. */
  vmListLagMs?: number;
  /** Ids of removed VMs to add to the list again. */
  restoreVms?: string[];
  /** Takes a backup of the store, or restores the last one. */
  backup?: "take" | "restore";
}

interface StoredValue {
  /** Encoded as base64, as received. */
  value: string;
  modRevision: number;
  lease?: string;
}

/** An open watch of one key, or of the keys from `from` up to `to`. */
interface Watcher {
  from: string;
  /** Exclusive; empty to watch only the key `from`. */
  to: string;
  response: ServerResponse;
}

interface Vm {
  id: string;
  domain: string;
  state: string;
}

const faults = {
  storeDown: false,
  vmListDown: false,
  slowMs: 0,
  vmListLagMs: 0,
  loseAnswers: 0,
  cutSources: [] as string[],
};
/** Calls so far; a transaction counts as a commit if it has compares. */
const counts = { reads: 0, commits: 0, vmLists: 0 };

class EtcdStandIn {
  #values = new Map<string, StoredValue>();
  #revision = 1;
  readonly #leases = new Map<string, { ttlMs: number; endsAt: number }>();
  readonly #watchers = new Set<Watcher>();
  #backup: { values: Map<string, StoredValue>; revision: number } | undefined;

  /** Runs one transaction; a transaction with a put gets a new revision. */
  // deno-lint-ignore no-explicit-any
  runTxn(txn: any) {
    const succeeded = (txn.compare ?? []).every((compare: {
      key: string;
      mod_revision?: string;
    }) =>
      (this.#values.get(decodeBase64(compare.key))?.modRevision ?? 0) ===
        Number(compare.mod_revision ?? 0)
    );
    const operations = succeeded ? txn.success ?? [] : txn.failure ?? [];
    if (operations.some((operation: object) => "request_put" in operation)) {
      this.#revision += 1;
    }
    const responses = operations.map((operation: object) =>
      this.#applyOperation(operation)
    );
    const header = { revision: String(this.#revision) };
    return { header, succeeded, responses };
  }

  /** Grants a lease that lasts `ttlSeconds` unless it is renewed. */
  grantLease(ttlSeconds: number): { ID: string; TTL: string } {
    const id = String(this.#leases.size + 1);
    const ttlMs = ttlSeconds * 1_000;
    this.#leases.set(id, { ttlMs, endsAt: Date.now() + ttlMs });
    return { ID: id, TTL: String(ttlSeconds) };
  }

  /** Renews a lease; the answer for an expired lease has a `TTL` of 0. */
  renewLease(id: string): { result: { ID: string; TTL: string } } {
    const lease = this.#leases.get(id);
    if (lease) lease.endsAt = Date.now() + lease.ttlMs;
    const ttl = lease ? lease.ttlMs / 1_000 : 0;
    return { result: { ID: id, TTL: String(ttl) } };
  }

  /** Ends expired leases and deletes their keys. */
  expireLeases(now: number): void {
    for (const [id, { endsAt }] of this.#leases) {
      if (now < endsAt) continue;
      this.#leases.delete(id);
      for (const [key, stored] of this.#values) {
        if (stored.lease !== id) continue;
        this.#values.delete(key);
        this.#revision += 1;
        this.#sendEvent("DELETE", key);
      }
    }
  }

  /** Streams later changes of the watched keys over the watcher's response. */
  addWatcher(watcher: Watcher): void {
    this.#watchers.add(watcher);
    watcher.response.writeHead(200, { "content-type": "application/json" });
    watcher.response.write('{"result":{"created":true}}\n');
    watcher.response.on("close", () => this.#watchers.delete(watcher));
  }

  takeBackup(): void {
    this.#backup = {
      values: new Map(this.#values),
      revision: this.#revision,
    };
  }

  /** Restores the last backup with its revision, so the revision goes back. */
  restoreBackup(): void {
    if (!this.#backup) return;
    this.#values = new Map(this.#backup.values);
    this.#revision = this.#backup.revision;
  }

  #sendEvent(type: "PUT" | "DELETE", key: string): void {
    const kv = {
      key: Buffer.from(key).toString("base64"),
      value: this.#values.get(key)?.value,
      mod_revision: String(this.#revision),
    };
    const line = JSON.stringify({ result: { events: [{ type, kv }] } });
    for (const { from, to, response } of this.#watchers) {
      if (
        key >= from && (to === "" ? key === from : key < to)
      ) {
        response.write(`${line}\n`);
      }
    }
  }

  // deno-lint-ignore no-explicit-any
  #applyOperation(operation: any) {
    const { request_put: put, request_range: range } = operation;
    if (put) {
      this.#values.set(decodeBase64(put.key), {
        value: put.value,
        modRevision: this.#revision,
        lease: put.lease,
      });
      this.#sendEvent("PUT", decodeBase64(put.key));
      return { response_put: {} };
    }
    const from = decodeBase64(range.key);
    const to = decodeBase64(range.range_end ?? "");
    const minRevision = Number(range.min_mod_revision ?? 0);
    const kvs = [...this.#values].flatMap(([key, stored]) => {
      const inRange = to === "" ? key === from : key >= from && key < to;
      if (!inRange || stored.modRevision < minRevision) return [];
      return [{
        key: Buffer.from(key).toString("base64"),
        value: stored.value,
        mod_revision: String(stored.modRevision),
      }];
    });
    return { response_range: { kvs } };
  }
}

class VmListStandIn {
  readonly #vms = new Map<string, Vm & { revision: number }>();
  readonly #removed = new Map<string, { revision: number; vm: Vm }>();
  #revision = 1;

  constructor(vms: Vm[]) {
    for (const vm of vms) this.#vms.set(vm.id, { ...vm, revision: 1 });
  }

  /**
   * Lists the changes of a failure domain's VMs since a revision; all VMs if
   * `since` is 0.
   */
  list(domain: string, since: number) {
    const domainVms = [...this.#vms.values()].filter((vm) =>
      vm.domain === domain
    );
    const changed = domainVms.filter((vm) => vm.revision > since);
    const removed = [...this.#removed].flatMap(([id, { revision, vm }]) =>
      revision > since && vm.domain === domain ? [id] : []
    );
    const complete = since === 0;
    return { revision: this.#revision, complete, changed, removed };
  }

  remove(id: string): void {
    const vm = this.#vms.get(id);
    if (!vm) return;
    this.#vms.delete(id);
    this.#removed.set(id, { revision: ++this.#revision, vm });
  }

  restore(id: string): void {
    const removed = this.#removed.get(id);
    if (!removed) return;
    this.#removed.delete(id);
    this.#vms.set(id, { ...removed.vm, revision: ++this.#revision });
  }

  markLeaving(id: string): void {
    const vm = this.#vms.get(id);
    if (!vm) return;
    vm.state = "leaving";
    vm.revision = ++this.#revision;
  }
}

function decodeBase64(text: string): string {
  return Buffer.from(text, "base64").toString();
}

function isBlocked(request: IncomingMessage): boolean {
  const source = request.socket.remoteAddress ?? "";
  return faults.cutSources.some((prefix) => source.startsWith(prefix));
}

async function serveStore(
  request: IncomingMessage,
  response: ServerResponse,
  body: string,
): Promise<void> {
  if (request.url === "/control") return handleControl(response, body);
  if (faults.storeDown || isBlocked(request)) {
    response.destroy();
    return;
  }
  if (request.url !== "/v3/kv/txn") {
    return serveLeaseOrWatch(request, response, body);
  }
  const txn = JSON.parse(body);
  const isCommit = (txn.compare ?? []).length > 0;
  counts[isCommit ? "commits" : "reads"] += 1;
  const answer = store.runTxn(txn);
  if (isCommit && faults.loseAnswers > 0) {
    faults.loseAnswers -= 1;
    response.destroy();
    return;
  }
  if (faults.slowMs > 0) await sleep(faults.slowMs);
  sendJson(response, answer);
}

function serveLeaseOrWatch(
  request: IncomingMessage,
  response: ServerResponse,
  body: string,
): void {
  const message = JSON.parse(body);
  if (request.url === "/v3/lease/grant") {
    return sendJson(response, store.grantLease(Number(message.TTL)));
  }
  if (request.url === "/v3/lease/keepalive") {
    return sendJson(response, store.renewLease(String(message.ID)));
  }
  if (request.url === "/v3/watch") {
    const { key, range_end = "" } = message.create_request;
    const from = decodeBase64(key);
    return store.addWatcher({
      from,
      to: decodeBase64(range_end),
      response,
    });
  }
  sendJson(response, { error: "unknown path" }, { status: 404 });
}

async function serveVmList(
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  if (faults.vmListDown || isBlocked(request)) {
    response.destroy();
    return;
  }
  counts.vmLists += 1;
  if (faults.slowMs > 0) await sleep(faults.slowMs);
  const url = new URL(request.url ?? "", "http://platform");
  const domain = url.searchParams.get("domain") ?? "";
  const since = Number(url.searchParams.get("since") ?? 0);
  sendJson(response, vmList.list(domain, since));
}

function handleControl(response: ServerResponse, body: string): void {
  const request: PlatformFaults = JSON.parse(body);
  const { removeVms, leavingVms, restoreVms, backup, ...faultChanges } =
    request;
  Object.assign(faults, faultChanges);
  const applyVmChanges = () => {
    for (const id of removeVms ?? []) vmList.remove(id);
    for (const id of leavingVms ?? []) vmList.markLeaving(id);
    for (const id of restoreVms ?? []) vmList.restore(id);
  };
  if (faults.vmListLagMs === 0) applyVmChanges();
  else setTimeout(applyVmChanges, faults.vmListLagMs);
  if (backup === "take") store.takeBackup();
  if (backup === "restore") store.restoreBackup();
  sendJson(response, counts);
}

const [host, storePort, vmListPort, vmsFile] = process.argv.slice(2);
const store = new EtcdStandIn();
const vmList = new VmListStandIn(JSON.parse(readFileSync(vmsFile, "utf8")));
await listen({ host, port: Number(storePort) }, serveStore);
await listen({ host, port: Number(vmListPort) }, serveVmList);
setInterval(() => store.expireLeases(Date.now()), 100);
process.stdout.write("ready\n");
