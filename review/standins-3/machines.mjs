/**
 * The platform's list of machines and their upkeep, as a process of its own. Tells its
 * parent of each order, in the order of their arrival.
 */
import http from "node:http";
import process from "node:process";

const UPKEEP_MS = 2_000;
/** Channels that may wait to be taken; the opening packets of more are dropped. */
const BACKLOG = 1;

const [host, port, list, wave, members] = process.argv.slice(2);
const machines = new Map(
  JSON.parse(list).map((machine) => [machine.machine, machine]),
);
const done = new Set();

function send(response, status, value) {
  const text = JSON.stringify(value);
  response.writeHead(status, {
    "content-type": "application/json",
    "content-length": text.length,
  });
  response.end(text);
}

function beginUpkeep({ machine: name, wave: number }) {
  const machine = machines.get(name);
  if (!machine) return [400, {}];
  const isMember = String(number) === wave && members.split(",").includes(name);
  if (!isMember) return [409, { reason: "wave" }];
  if (done.has(name)) return [200, {}];
  if (machine.state !== "up") return [409, { reason: "busy" }];
  done.add(name);
  machine.state = "upkeep";
  process.send({ begun: name, id: machine.id });
  setTimeout(() => {
    machine.state = "up";
    machine.id = `${machine.id}u`;
    process.send({ up: name, id: machine.id });
  }, UPKEEP_MS);
  return [200, {}];
}

const server = http.createServer((request, response) => {
  let text = "";
  request.on("data", (chunk) => text += chunk);
  request.on("end", () => {
    if (request.method === "GET") {
      return send(response, 200, {
        machines: [...machines.values()],
        next_token: null,
      });
    }
    const body = JSON.parse(text);
    const [status, value] = beginUpkeep(body);
    process.send({
      order: body.machine,
      holder: request.headers["duty-holder"],
      fence: Number(request.headers["fence-token"]),
      status,
    });
    send(response, status, value);
  });
});
server.keepAliveTimeout = 120_000;
server.listen(Number(port), host, BACKLOG, () => process.send({ ready: true }));
process.on("disconnect", () => process.exit());
