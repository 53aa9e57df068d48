import { readFileSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import test from "ava";
import { sendRequest } from "../harness/client.ts";
import { Fleet } from "../harness/fleet.ts";

test("operators race, withdraw a key, and hear of a frozen entry", async (t) => {
  const fleet = await Fleet.start({
    example: "guanacaste",
    network: "127.44",
  });
  t.teardown(() => fleet.stop());
  const entries = [...fleet.entries.values()];
  const [first, second] = entries;
  const config = join(fleet.directory, "config");
  const run = (args: string[], entry = first) =>
    fleet.runCommand([
      ...args,
      "--entry",
      entry.url,
      "--key",
      fleet.operatorKey,
    ]);
  await fleet.waitForStatus(first, (s) => s.entries.length === 9);

  const plan = await run(["plan", config, "--json"]);
  const base = String(JSON.parse(plan.stdout).base);
  const races = await Promise.all([
    run(["apply", config, "--base", base, "--author", "ana"]),
    run(["apply", config, "--base", base, "--author", "luis"], second),
  ]);
  t.deepEqual(races.map(({ code }) => code).sort(), [0, 4]);
  const loser = races.find(({ code }) => code === 4)!;
  t.regex(loser.stderr, /version 1 by (ana|luis) came first/);
  await fleet.waitForEndpoints(30);

  const wrongKey = await fleet.runCommand([
    "status",
    "--entry",
    first.url,
    "--key",
    "bbh.x.y",
  ]);
  t.is(wrongKey.code, 6);

  const keys = join(config, "keys.ini");
  const withdrawn = readFileSync(keys, "utf8")
    .replace(/\[key\.coopeganado\][^[]*/, "");
  writeFileSync(keys, withdrawn);
  t.is((await run(["apply", config])).code, 0);
  const wanted = { team: "coopeganado", queue: "calf-filings", runMs: 5 };
  for (const { url } of entries) {
    const record = await sendRequest({ ...wanted, url, timeoutMs: 5_000 });
    t.is(record.status, 401);
    t.is(record.verdict, "not_run");
  }

  fleet.signal(entries[4].vm, "SIGSTOP");
  writeFileSync(
    keys,
    withdrawn.replace(/\[key\.finca-verde\][^[]*/, ""),
  );
  const partial = await run(["apply", config]);
  t.is(partial.code, 5);
  t.regex(partial.stderr, new RegExp(`staged[^]*${entries[4].vm}`));
  const restricted = await sendRequest({
    ...wanted,
    team: "finca-verde",
    url: first.url,
    timeoutMs: 5_000,
  });
  t.is(restricted.status, 401);
  fleet.signal(entries[4].vm, "SIGCONT");
  await fleet.waitForStatus(first, (s) => s.config.accepted === 3);

  const dump = await run(["dump"]);
  t.is(JSON.parse(dump.stdout).status.vm, first.vm);
});
