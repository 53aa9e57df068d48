/**
 * Runs a relay between entries as a process. A request to the control address
 * replaces the network partitions that it simulates.
 *
 * Usage: node relay_host.js CONTROL_HOST CONTROL_PORT FROM=TO [FROM=TO ...]
 * FROM and TO are `host:port`: connections to FROM are forwarded to TO.
 */
import process from "node:process";
import { listen, sendJson } from "./http_server.ts";
import { LinkFault, Relay } from "./relay.ts";

/** Network partitions to simulate. */
export interface RelayFaults {
  /** Pairs of address prefixes that can't connect, in either direction. */
  cuts: [string, string][];
}

const relay = new Relay();
const [controlHost, controlPort, ...routes] = process.argv.slice(2);
for (const route of routes) {
  const [from, to] = route.split("=").map((address) => {
    const [host, port] = address.split(":");
    return { host, port: Number(port) };
  });
  await relay.addRoute(from, to);
}
await listen(
  { host: controlHost, port: Number(controlPort) },
  (_request, response, body) => {
    const { cuts } = JSON.parse(body) as RelayFaults;
    relay.setRules(cuts.flatMap(([a, b]) => [
      { source: a, target: b, fault: LinkFault.Cut },
      { source: b, target: a, fault: LinkFault.Cut },
    ]));
    sendJson(response, {});
  },
);
process.stdout.write("ready\n");
