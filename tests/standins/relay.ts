/**
 * Stand-in for the network between entries: passes connections on, and cuts
 * them by the address that they come from and the one that they go to.
 *
 * Usage: node relay.js CONTROL_HOST CONTROL_PORT FROM=TO [FROM=TO ...]
 */
import { connect, createServer, type Socket } from "node:net";
import process from "node:process";
import { listen, sendJson } from "./http_server.ts";

/** Pairs of address prefixes whose connections are cut, both ways. */
export interface RelayFaults {
  cuts: [string, string][];
}

const faults: RelayFaults = { cuts: [] };
const open = new Set<{ source: string; target: string; sockets: Socket[] }>();

function isCut(source: string, target: string): boolean {
  return faults.cuts.some(([a, b]) =>
    (source.startsWith(a) && target.startsWith(b)) ||
    (source.startsWith(b) && target.startsWith(a))
  );
}

function pass(socket: Socket, to: { host: string; port: number }): void {
  const source = socket.remoteAddress ?? "";
  if (isCut(source, to.host)) {
    socket.destroy();
    return;
  }
  const onward = connect({ ...to, localAddress: source });
  const link = { source, target: to.host, sockets: [socket, onward] };
  open.add(link);
  const end = () => {
    open.delete(link);
    for (const one of link.sockets) one.destroy();
  };
  for (const one of link.sockets) one.on("error", end).on("close", end);
  socket.pipe(onward).pipe(socket);
}

const [controlHost, controlPort, ...routes] = process.argv.slice(2);
for (const route of routes) {
  const [from, to] = route.split("=").map((address) => {
    const [host, port] = address.split(":");
    return { host, port: Number(port) };
  });
  const server = createServer((socket) => pass(socket, to));
  await new Promise<void>((resolve) =>
    server.listen(from.port, from.host, resolve)
  );
}
await listen(
  { host: controlHost, port: Number(controlPort) },
  (_request, response, body) => {
    Object.assign(faults, JSON.parse(body));
    for (const link of open) {
      if (!isCut(link.source, link.target)) continue;
      for (const socket of link.sockets) socket.destroy();
    }
    sendJson(response, {});
  },
);
process.stdout.write("ready\n");
