/**
 * Hosts endpoint stand-ins behind relays, as a process of its own that is told of faults
 * over its channel (`HostCommand`) and reports what its endpoints record.
 */
import process from "node:process";
import { match } from "ts-pattern";
import { EndpointStandIn } from "../../standins/endpoint.ts";
import type { EndpointEvent } from "../../standins/endpoint_lifetime.ts";
import { type LinkRule, Relay } from "../../standins/relay.ts";
import { type HostCommand, type HostReport, SeriesPort } from "./types.ts";
import { measureTask } from "./workload.ts";

const REPORT_INTERVAL_MS = 50;
/** Time until a stopped run ends, in milliseconds. */
const STOP_MS = 100;

const relay = new Relay();
const endpoints: { standIn: EndpointStandIn; host: string }[] = [];
const rules = new Map<number, LinkRule>();
let events: EndpointEvent[] = [];

function report(message: HostReport): void {
  process.send?.(message);
}

async function openEndpoint(
  { id, host }: { id: string; host: string },
): Promise<void> {
  const standIn = new EndpointStandIn(id);
  standIn.stopMs = STOP_MS;
  standIn.measureDuration = measureTask;
  standIn.onEvent = (event) => events.push(event);
  standIn.isTicketValid = ({ task, ticket = "" }, now) => {
    const [step, endpoint, issuedAt, validUntil] = ticket.split("|");
    return task.startsWith(`${step}.`) && endpoint === standIn.id &&
      Number(issuedAt) >= standIn.born && now < Number(validUntil);
  };
  await standIn.start({ host, port: SeriesPort.Endpoint });
  await relay.addRoute(
    { host, port: SeriesPort.EndpointRelay },
    { host, port: SeriesPort.Endpoint },
  );
  endpoints.push({ standIn, host });
  reportBirth(endpoints.length - 1);
}

function reportBirth(endpoint: number): void {
  const { id, born } = endpoints[endpoint].standIn;
  report({ kind: "born", endpoint, id, born });
}

async function handle(command: HostCommand): Promise<void> {
  await match(command)
    .with({ kind: "open" }, async (open) => {
      for (const endpoint of open.endpoints) await openEndpoint(endpoint);
      report({ kind: "ready" });
    })
    .with({ kind: "cut" }, ({ endpoint, fault }) => {
      const { host } = endpoints[endpoint];
      rules.set(endpoint, {
        source: "127.",
        target: host,
        fault,
        losesHeld: true,
      });
      relay.setRules([...rules.values()]);
    })
    .with({ kind: "heal" }, ({ endpoint }) => {
      rules.delete(endpoint);
      relay.setRules([...rules.values()]);
    })
    .with(
      { kind: "crash" },
      ({ endpoint }) => endpoints[endpoint].standIn.crash(),
    )
    .with({ kind: "restart" }, async ({ endpoint, id }) => {
      await endpoints[endpoint].standIn.restart(id);
      reportBirth(endpoint);
    })
    .exhaustive();
}

process.on("message", (command: HostCommand) => void handle(command));
process.on("disconnect", () => process.exit(0));
setInterval(() => {
  if (events.length === 0) return;
  report({ kind: "events", events });
  events = [];
}, REPORT_INTERVAL_MS);
