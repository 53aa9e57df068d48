import test from "ava";
import { drawFaults, LinkPair, SoakFaultKind } from "./schedule.ts";
import { LinkFault } from "../standins/relay.ts";

const SITE = { entries: 4, endpoints: 5, durationMs: 30_000 };
const SEEDS = Array.from({ length: 50 }, (_, seed) => seed);

test("the same seed gives the same schedule of faults", (t) => {
  for (const seed of SEEDS) {
    t.deepEqual(drawFaults(seed, SITE), drawFaults(seed, SITE));
  }
  t.notDeepEqual(drawFaults(1, SITE), drawFaults(2, SITE));
});

test("fifty seeds hold every kind of fault, in series that overlap", (t) => {
  const schedules = SEEDS.map((seed) => drawFaults(seed, SITE));
  const faults = schedules.flat();
  t.deepEqual(
    [...new Set(faults.map(({ kind }) => kind))].sort(),
    Object.values(SoakFaultKind).sort(),
  );
  const links = faults.filter(({ kind }) => kind === SoakFaultKind.Link)
    .map(({ pair, link }) => `${pair} ${link}`);
  const allLinks = Object.values(LinkPair).flatMap((pair) =>
    Object.values(LinkFault).map((link) => `${pair} ${link}`)
  );
  t.deepEqual([...new Set(links)].sort(), allLinks.sort());
  const overlaps = schedules.filter((schedule) =>
    schedule.some(({ atMs, lastsMs }, index) =>
      schedule[index + 1]?.atMs < atMs + lastsMs
    )
  );
  t.true(overlaps.length > 45);
});

test("fifty seeds hold stops during reloads, kills, pauses and other stops", (t) => {
  const schedules = SEEDS.map((seed) => drawFaults(seed, SITE));
  for (
    const kind of [
      SoakFaultKind.Reload,
      SoakFaultKind.Kill,
      SoakFaultKind.Pause,
    ]
  ) {
    t.true(
      schedules.some((faults) =>
        faults.some((fault) =>
          fault.kind === kind && fault.leadMs !== undefined &&
          faults.some((stop) =>
            stop.kind === SoakFaultKind.PlannedStop &&
            stop.atMs === fault.atMs && stop.entry === fault.entry
          )
        )
      ),
    );
  }
  t.true(schedules.some((faults) => {
    const stops = faults.filter(({ kind }) =>
      kind === SoakFaultKind.PlannedStop
    );
    return stops.some(({ atMs }, n) => stops[n + 1]?.atMs - atMs < 2_000);
  }));
});

test("every fault ends with the time of the faults", (t) => {
  for (const fault of SEEDS.flatMap((seed) => drawFaults(seed, SITE))) {
    t.true(fault.atMs + fault.lastsMs <= SITE.durationMs);
  }
});
