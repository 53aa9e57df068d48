import test from "ava";
import { v7 as makeUuid } from "uuid";
import { checkHistory } from "../harness/check_history.ts";
import { type ClientRecord, sendRequest } from "../harness/client.ts";
import { Fleet } from "../harness/fleet.ts";

const TEAM_LIMITS = {
  teams: { coopeganado: 120, "guanacaste-norte": 160, inspectores: 24 },
};

test("batch, gang and service requests run in a fleet of separate processes", async (t) => {
  const fleet = await Fleet.start({
    example: "guanacaste",
    network: "127.41",
  });
  t.teardown(() => fleet.stop());
  const entries = [...fleet.entries.values()];
  await fleet.waitForStatus(
    entries[0],
    (status) => status.entries.length === 9,
  );
  await fleet.applyConfig(entries[0]);
  await fleet.waitForEndpoints(30);
  const requestOptions = { url: entries[4].url, runMs: 20, timeoutMs: 20_000 };
  const records: ClientRecord[] = [];
  records.push(
    await sendRequest({
      ...requestOptions,
      team: "coopeganado",
      queue: "calf-filings",
    }),
    await sendRequest({
      ...requestOptions,
      team: "coopeganado",
      queue: "herd-reconciliation",
      kind: "gang",
      tasks: 20,
    }),
    await sendRequest({
      ...requestOptions,
      team: "inspectores",
      queue: "reporting-services",
      kind: "service",
    }),
    await sendRequest({
      ...requestOptions,
      team: "inspectores",
      queue: "public-lookups",
    }),
  );
  t.deepEqual(records.map((record) => record.verdict), [
    "ran",
    "ran",
    "ran",
    "ran",
  ]);
  t.deepEqual(
    checkHistory(records, await fleet.readHistory(), TEAM_LIMITS),
    [],
  );
});

test("a repeated idempotency key returns the first outcome at every entry", async (t) => {
  const fleet = await Fleet.start({ example: "vanua", network: "127.42" });
  t.teardown(() => fleet.stop());
  const entries = [...fleet.entries.values()];
  await fleet.waitForStatus(
    entries[0],
    (status) => status.entries.length === 9,
  );
  await fleet.applyConfig(entries[0]);
  await fleet.waitForEndpoints(30);
  // A key is refused if it was created before its home's tenure began plus the
  // tolerated clock skew, since an earlier home may have used it.
  await new Promise((resolve) => setTimeout(resolve, 3_000));
  const requestOptions = {
    team: "nadi-childcare",
    queue: "cot-bookings",
    runMs: 20,
    timeoutMs: 20_000,
    ref: makeUuid(),
    idempotencyKey: `nadi/${makeUuid()}`,
  };
  const records: ClientRecord[] = [];
  for (const entry of entries) {
    records.push(await sendRequest({ ...requestOptions, url: entry.url }));
  }
  const history = await fleet.readHistory();
  t.true(records.every((record) => record.verdict === "ran"));
  t.is(
    history.filter((historyEvent) => historyEvent.event === "start").length,
    1,
  );
  t.deepEqual(
    checkHistory(records, history, { teams: { "nadi-childcare": 120 } }),
    [],
  );
});
