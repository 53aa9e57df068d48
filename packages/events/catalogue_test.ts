import { readFileSync } from "node:fs";
import test from "ava";
import {
  CATALOGUE,
  EventCode,
  explainEvent,
  renderCatalogue,
  Severity,
} from "./mod.ts";

test("docs/EVENTS.md holds the catalogue", (t) => {
  const page = readFileSync("docs/EVENTS.md", "utf8");
  t.true(page.includes(renderCatalogue()));
});

test("explains a known event and no other", (t) => {
  t.regex(explainEvent(2003) ?? "", /StoreReverted \(error\)/);
  t.is(explainEvent(9), undefined);
});

test("a refused request is written at the usual level", (t) => {
  // At `debug` an id that was refused under load left no trace.
  t.is(CATALOGUE[EventCode.RequestRefused].severity, Severity.Info);
});
