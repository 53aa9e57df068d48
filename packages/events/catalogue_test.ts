import { readFileSync } from "node:fs";
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
