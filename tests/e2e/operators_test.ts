import { readFileSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import test from "ava";
import { sendRequest } from "../harness/client.ts";
import { Fleet } from "../harness/fleet.ts";

test("apply refuses a conflicting change, revokes keys and names a suspended entry", async (t) => {
  const fleet = await Fleet.start({
    example: "guanacaste",
    network: "127.44",
  });
  t.teardown(() => fleet.stop());
  const entries = [...fleet.entries.values()];
  const [first, second] = entries;
  const config = join(fleet.directory, "config");
  const runAsOperator = (args: string[], entry = first) =>
    fleet.runCommand([
      ...args,
      "--entry",
      entry.url,
      "--key",
      fleet.operatorKey,
    ]);
  await fleet.waitForStatus(
    first,
    (entryStatus) => entryStatus.entries.length === 9,
  );

  const plan = await runAsOperator(["plan", config, "--json"]);
  const base = String(JSON.parse(plan.stdout).base);
  const applies = await Promise.all([
    runAsOperator(["apply", config, "--base", base, "--author", "ana"]),
    runAsOperator(
      ["apply", config, "--base", base, "--author", "luis"],
      second,
    ),
  ]);
  t.deepEqual(applies.map(({ code }) => code).sort(), [0, 4]);
  const rejectedApply = applies.find(({ code }) => code === 4)!;
  t.regex(rejectedApply.stderr, /version 1 by (ana|luis) came first/);
  await fleet.waitForEndpoints(30);

  const wrongKey = await fleet.runCommand([
    "status",
    "--entry",
    first.url,
    "--key",
    "bbh.x.y",
  ]);
  t.is(wrongKey.code, 6);

  const keysFile = join(config, "keys.ini");
  const keysAfterRemoval = readFileSync(keysFile, "utf8")
    .replace(/\[key\.coopeganado\][^[]*/, "");
  writeFileSync(keysFile, keysAfterRemoval);
  t.is((await runAsOperator(["apply", config])).code, 0);
  const requestOptions = {
    team: "coopeganado",
    queue: "calf-filings",
    runMs: 5,
  };
  for (const { url } of entries) {
    const record = await sendRequest({
      ...requestOptions,
      url,
      timeoutMs: 5_000,
    });
    t.is(record.status, 401);
    t.is(record.verdict, "not_run");
  }

  fleet.signal(entries[4].vm, "SIGSTOP");
  writeFileSync(
    keysFile,
    keysAfterRemoval.replace(/\[key\.finca-verde\][^[]*/, ""),
  );
  const partialApply = await runAsOperator(["apply", config]);
  t.is(partialApply.code, 5);
  t.regex(partialApply.stderr, new RegExp(`staged[^]*${entries[4].vm}`));
  const refused = await sendRequest({
    ...requestOptions,
    team: "finca-verde",
    url: first.url,
    timeoutMs: 5_000,
  });
  t.is(refused.status, 401);
  fleet.signal(entries[4].vm, "SIGCONT");
  await fleet.waitForStatus(
    first,
    (entryStatus) => entryStatus.config.accepted === 3,
  );

  const dump = await runAsOperator(["dump"]);
  t.is(JSON.parse(dump.stdout).status.vm, first.vm);
});
