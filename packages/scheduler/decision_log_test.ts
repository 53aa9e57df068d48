import test from "ava";
import { DecisionKind, StopReason } from "../cell/mod.ts";
import { Metrics } from "../metrics/mod.ts";
import { countDecisions } from "./decision_log.ts";

// Guards against crashes of endpoints that show in no counter.
test("crashes and restarts of endpoints and tasks given up are counted, other decisions are not", async (t) => {
  const metrics = new Metrics();
  const kinds = [
    DecisionKind.EndpointCrashed,
    DecisionKind.Started,
    DecisionKind.EndpointCrashed,
    DecisionKind.TaskGivenUp,
    DecisionKind.EndpointReborn,
    DecisionKind.EndpointReplaced,
    DecisionKind.ListingIgnored,
  ];
  const decisions = kinds.map((kind) => ({ kind, subject: "a", inputs: {} }));
  countDecisions(metrics, decisions);
  const text = await metrics.renderText();
  t.regex(text, /baobabhead_endpoint_crashes_total 2/);
  t.regex(text, /baobabhead_tasks_given_up_total 1/);
  t.regex(text, /baobabhead_endpoint_restarts_total 1/);
  t.regex(text, /baobabhead_endpoints_replaced_total 1/);
  t.regex(text, /baobabhead_listings_ignored_total 1/);
  t.notRegex(text, /started/);
  t.notRegex(text, /runs_stopped/);
});

// Guards against stops whose causes show in no counter.
test("stops of runs are counted by their reason", async (t) => {
  const metrics = new Metrics();
  const reasons = [
    StopReason.Stalled,
    StopReason.Cancelled,
    StopReason.Stalled,
  ];
  const decisions = reasons.map((reason) => ({
    kind: DecisionKind.Stopped,
    subject: "a",
    inputs: { reason },
  }));
  countDecisions(metrics, decisions);
  const text = await metrics.renderText();
  t.regex(text, /baobabhead_runs_stopped_total\{reason="stalled"\} 2/);
  t.regex(text, /baobabhead_runs_stopped_total\{reason="cancelled"\} 1/);
});
