import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import test from "ava";
import { ExitCode, runCommandLine } from "./mod.ts";

/** Runs `evacuate` against an entry that gives one answer; returns the call too. */
async function runAgainst(answer: unknown, args: string[]) {
  let call = "";
  const server = createServer((request, response) => {
    call = `${request.method} ${request.url}`;
    response.end(JSON.stringify(answer));
  });
  await new Promise<void>((resolve) =>
    server.listen(0, "127.0.0.1", () => resolve())
  );
  const { port } = server.address() as AddressInfo;
  const output = await runCommandLine([
    "evacuate",
    ...args,
    "--entry",
    `http://127.0.0.1:${port}`,
  ]);
  server.close();
  server.closeAllConnections();
  return { ...output, call };
}

test("`evacuate` lists the domains and why runs are still there", async (t) => {
  const { code, text, call } = await runAgainst({
    evacuations: [{
      domain: "zone-1",
      sources: ["platform"],
      ageMs: 4_200,
      isEffective: true,
      endpoints: 3,
      unlocated: 1,
      runs: [{
        task: "s.0.0.1",
        run: 1_001,
        endpoint: "w7",
        phase: "running",
        verdict: "no_room",
      }],
    }],
  }, []);
  t.is(code, ExitCode.Ok);
  t.is(call, "GET /v1/evacuations");
  t.regex(text!, /zone-1 +platform +4 s +none +3 +2/);
  t.regex(text!, /zone-1 +w7 +s\.0\.0\.1 \(run 1001\) +running +no_room/);
});

test("`evacuate DOMAIN` requests, and `--cancel` tells if the platform's request holds", async (t) => {
  const requested = await runAgainst({ state: "requested" }, ["eu/north"]);
  t.is(requested.call, "PUT /v1/evacuations/eu%2Fnorth");
  t.is(requested.code, ExitCode.Ok);
  const state = "requested_by_platform";
  const cancelled = await runAgainst({ state }, ["zone-1", "--cancel"]);
  t.is(cancelled.call, "DELETE /v1/evacuations/zone-1");
  t.is(cancelled.code, ExitCode.Partial);
});

test("`evacuate --cancel` without a domain is refused", async (t) => {
  const { code } = await runCommandLine(["evacuate", "--cancel"]);
  t.is(code, ExitCode.Usage);
});
