import { readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";
import test from "ava";
import {
  EVENT_CATALOGUE,
  EventCode,
  explainEvent,
  renderCatalogue,
  Severity,
} from "./mod.ts";

test("docs/EVENTS.md contains the catalogue", (t) => {
  const page = readFileSync("docs/EVENTS.md", "utf8");
  t.true(page.includes(renderCatalogue()));
});

test("explains known event codes only", (t) => {
  t.regex(explainEvent(2003) ?? "", /StoreReverted \(error\)/);
  t.is(explainEvent(9), undefined);
});

test("refused requests are logged at the default level", (t) => {
  // At `debug`, an id refused under load would be missing from the default log.
  t.is(EVENT_CATALOGUE[EventCode.RequestRefused].severity, Severity.Info);
});

// Guards against events that the page explains and that no log ever contains.
test("every event is recorded somewhere", (t) => {
  const sources = ["packages", "platform"].flatMap((folder) =>
    readdirSync(folder, { recursive: true, encoding: "utf8" })
      .filter((file) => file.endsWith(".ts") && !file.endsWith("_test.ts"))
      .filter((file) => !file.endsWith("catalogue.ts"))
      .map((file) => readFileSync(join(folder, file), "utf8"))
  ).join("\n");
  const unused = Object.keys(EventCode).filter((name) =>
    Number.isNaN(Number(name)) &&
    !new RegExp(`EventCode\\.${name}\\b`).test(sources)
  );
  t.deepEqual(unused, []);
});
