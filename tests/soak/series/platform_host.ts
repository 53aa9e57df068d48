/** Hosts the store, the policy service and the list of VMs, as a process of its own. */
import process from "node:process";
import { match } from "ts-pattern";
import { listen, sendJson, sleep } from "../../standins/http_server.ts";
import { StoreStandIn, VmServiceStandIn } from "../../standins/job_platform.ts";
import { type PlatformCommand, SeriesPort } from "./types.ts";
import { findQueue, isAllowed } from "./workload.ts";

const store = new StoreStandIn();
const vms = new VmServiceStandIn();
/** End of the last call of each calling VM, which the policy service takes in turn. */
const busyUntil = new Map<string, number>();

/** Duration of a transaction of the store, in milliseconds. */
const TRANSACTION_MS = 4;

async function open(host: string): Promise<void> {
  store.transactionMs = TRANSACTION_MS;
  await store.start({ host, port: SeriesPort.Store });
  await vms.start({ host, port: SeriesPort.Vms });
  await listen(
    { host, port: SeriesPort.Policy },
    async (request, response, text) => {
      const { step, workers } = JSON.parse(text) as {
        step: string;
        workers: string[];
      };
      const { decideMs, eachMs, validMs } = findQueue(step).advice;
      const source = request.socket.remoteAddress ?? "";
      const startsAt = Math.max(Date.now(), busyUntil.get(source) ?? 0);
      const endsAt = startsAt + decideMs + eachMs * workers.length;
      busyUntil.set(source, endsAt);
      await sleep(endsAt - Date.now());
      const now = Date.now();
      const good = workers.filter((id) => isAllowed(step, id))
        .map((id) => [id, [step, id, now, now + validMs].join("|")]);
      sendJson(response, { good, valid_ms: validMs });
    },
  );
  process.send?.({ kind: "ready" });
}

process.on("message", (command: PlatformCommand) => {
  match(command)
    .with({ kind: "open" }, ({ host }) => void open(host))
    .with({ kind: "put" }, ({ key, value }) => store.put(key, value))
    .with({ kind: "remove" }, ({ key }) => store.remove(key))
    .with({ kind: "vm" }, ({ vm, id }) => vms.add(vm, id))
    .exhaustive();
});
process.on("disconnect", () => process.exit(0));
