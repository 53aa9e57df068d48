import test from "ava";
import fc from "fast-check";
import { WorkKind } from "../base/mod.ts";
import {
  adoptUpdate,
  type ConfigState,
  type Configuration,
  createConfigState,
  listAcceptedItems,
  splitConfiguration,
  stageItems,
} from "./mod.ts";

const STAGE_OPTIONS = { author: "a", writer: "w", now: 1 };

function makeConfiguration(limit: number, keys: string[]): Configuration {
  return {
    teams: { ox: { share: 1, limit } },
    keys: Object.fromEntries(keys.map((name) => [name, {
      team: "ox",
      hash: name.padEnd(64, "0"),
    }])),
    queues: {
      all: {
        teams: ["ox"],
        open: false,
        open_team: "",
        kinds: [WorkKind.Batch],
        urgent: false,
        max_queued: 1,
        max_body_bytes: 1,
      },
    },
  };
}

function stage(state: ConfigState, configuration: Configuration): ConfigState {
  const items = splitConfiguration(configuration);
  return adoptUpdate(state, stageItems(state, items, STAGE_OPTIONS));
}

function accept(state: ConfigState, accepted: number): ConfigState {
  const head = { ...state.head, accepted };
  return adoptUpdate(state, { head, pages: [] });
}

test("restrictions take effect when staged, grants when accepted", (t) => {
  const initial = accept(
    stage(createConfigState(), makeConfiguration(5, ["k1"])),
    1,
  );
  const staged = stage(initial, makeConfiguration(9, ["k2"]));
  t.is(staged.effective.teams.ox.limit, 5);
  t.deepEqual(Object.keys(staged.effective.keys), []);
  const accepted = accept(staged, 2);
  t.is(accepted.effective.teams.ox.limit, 9);
  t.deepEqual(Object.keys(accepted.effective.keys), ["k2"]);
});

test("a version can be accepted while a later one is staged", (t) => {
  let state = accept(
    stage(createConfigState(), makeConfiguration(5, ["k1"])),
    1,
  );
  state = stage(state, makeConfiguration(9, ["k1"]));
  state = stage(state, makeConfiguration(7, ["k1"]));
  t.is(state.effective.teams.ox.limit, 5);
  state = accept(state, 2);
  t.is(
    state.effective.teams.ox.limit,
    7,
    "the accepted limit 9 is restricted by the staged limit 7",
  );
  t.is(JSON.parse(listAcceptedItems(state)["teams.ox"]).limit, 9);
});

test("a configuration never reverts, in whatever order updates arrive", (t) => {
  const limits = fc.array(fc.integer({ min: 0, max: 9 }), { minLength: 2 });
  fc.assert(
    fc.property(limits, fc.infiniteStream(fc.nat()), (limitValues, order) => {
      const states: ConfigState[] = [];
      let state = createConfigState();
      for (const limit of limitValues) {
        state = stage(state, makeConfiguration(limit, []));
        states.push(state);
        state = accept(state, state.head.version);
        states.push(state);
      }
      let reader = createConfigState();
      for (const index of order.take(states.length * 2)) {
        const { head, pages } = states[index % states.length];
        const previousHead = reader.head;
        const update = {
          head,
          pages: pages.map((page, number) => ({ number, page })),
        };
        reader = adoptUpdate(reader, update);
        if (reader.head.version < previousHead.version) return false;
        if (reader.head.accepted < previousHead.accepted) return false;
        const limit = reader.effective.teams.ox?.limit;
        const expected = states.find((candidate) =>
          candidate.head === reader.head
        );
        if (expected && limit !== expected.effective.teams.ox?.limit) {
          return false;
        }
      }
      return true;
    }),
    { seed: 7, numRuns: 200 },
  );
  t.pass();
});
