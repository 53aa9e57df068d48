/**
 * Stand-in for the network between entries: a TCP relay that simulates network
 * partitions. It refuses and closes connections by the prefixes of their source
 * and target address.
 *
 * A request to the control address replaces the partitions.
 *
 * Usage: node relay.js CONTROL_HOST CONTROL_PORT FROM=TO [FROM=TO ...]
 * FROM and TO are `host:port`: connections to FROM are forwarded to TO.
 */
import { connect, createServer, type Socket } from "node:net";
import process from "node:process";
import { listen, sendJson } from "./http_server.ts";

/** Network partitions to simulate. */
export interface RelayFaults {
  /** Pairs of address prefixes that can't connect, in either direction. */
  cuts: [string, string][];
}

const faults: RelayFaults = { cuts: [] };
const connections = new Set<
  { source: string; target: string; sockets: Socket[] }
>();

function isPartitioned(source: string, target: string): boolean {
  return faults.cuts.some(([a, b]) =>
    (source.startsWith(a) && target.startsWith(b)) ||
    (source.startsWith(b) && target.startsWith(a))
  );
}

function forward(
  clientSocket: Socket,
  targetAddress: { host: string; port: number },
): void {
  const source = clientSocket.remoteAddress ?? "";
  if (isPartitioned(source, targetAddress.host)) {
    clientSocket.destroy();
    return;
  }
  const targetSocket = connect({ ...targetAddress, localAddress: source });
  const connection = {
    source,
    target: targetAddress.host,
    sockets: [clientSocket, targetSocket],
  };
  connections.add(connection);
  const closeBoth = () => {
    connections.delete(connection);
    for (const socket of connection.sockets) socket.destroy();
  };
  for (const socket of connection.sockets) {
    socket.on("error", closeBoth).on("close", closeBoth);
  }
  clientSocket.pipe(targetSocket).pipe(clientSocket);
}

const [controlHost, controlPort, ...routes] = process.argv.slice(2);
for (const route of routes) {
  const [from, to] = route.split("=").map((address) => {
    const [host, port] = address.split(":");
    return { host, port: Number(port) };
  });
  const server = createServer((socket) => forward(socket, to));
  await new Promise<void>((resolve) =>
    server.listen(from.port, from.host, resolve)
  );
}
await listen(
  { host: controlHost, port: Number(controlPort) },
  (_request, response, body) => {
    Object.assign(faults, JSON.parse(body));
    for (const connection of connections) {
      if (!isPartitioned(connection.source, connection.target)) continue;
      for (const socket of connection.sockets) socket.destroy();
    }
    sendJson(response, {});
  },
);
process.stdout.write("ready\n");
