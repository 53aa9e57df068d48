import fc from "fast-check";
import test from "ava";
import type { EndpointInfo } from "../../packages/cell/mod.ts";
import {
  EventCode,
  type EventFields,
  EventLog,
} from "../../packages/events/mod.ts";
import { Metrics } from "../../packages/metrics/mod.ts";
import { EndpointFeed } from "../../packages/scheduler/mod.ts";
import { PlatformRecords } from "../../platform/site_records.ts";
import { MemoryStore, MemoryStoreState } from "./memory_store.ts";
import { ProcessClock, VirtualTime } from "./virtual_time.ts";

const records = new PlatformRecords();

const RECORD = {
  service: "desk",
  addr: "10.2.0.7:8568",
  zone: "norte",
  version: "1.4",
  slots: 8,
  state: "ready",
  room: { cpu: 16_000, mem_mb: 32_768 },
  labels: ["a", "r1-3"],
  born: 1_800_000_000_000,
  seq: 7,
};

function decode(fields: object): EndpointInfo | undefined {
  const text = JSON.stringify({ ...RECORD, ...fields });
  // JSON has no notation for what a number too large is read as.
  return records.decodeEndpoint("servers/w1", text.replace('"1e400"', "1e400"));
}

/** Lists in lists, deeper than a recursive reader can follow. */
function nest(levels: number): string {
  return "[".repeat(levels) + "]".repeat(levels);
}

// Guards against a record or a configuration that is ignored because its writer states
// the encoding.
test("a document that begins with a byte order mark is read", (t) => {
  const text = `\ufeff${JSON.stringify(RECORD)}`;
  t.like(records.decodeEndpoint("servers/w1", text), { id: "w1" });
  t.is(records.decodeConfig('\ufeff{"version":7}').version, 7);
});

test("a usable record is an endpoint", (t) => {
  t.like(decode({}), {
    id: "w1",
    address: "10.2.0.7:8568",
    capacity: { milliCores: 16_000, memoryMb: 32_768, accelerators: 0 },
    rack: "r1-3",
  });
});

// Such a record gave a service endless room, which turned admission and shares off, or an
// endpoint that no call could reach.
for (
  const [what, fields] of Object.entries<object>({
    "a number too large": { room: { cpu: "1e400" } },
    "room beyond any machine": { room: { cpu: 1e300 } },
    "negative room": { room: { cpu: 16_000, mem_mb: -5 } },
    "room that is text": { room: { cpu: "16000" } },
    "a port out of range": { addr: "10.2.0.7:99999" },
    "port 0": { addr: "10.2.0.7:0" },
    "no port": { addr: "10.2.0.7" },
    "a path behind the port": { addr: "10.2.0.7:8568/x" },
    "an address that is none": { addr: "10.2.0.777:8568" },
    "a service without a name": { service: "" },
    "a state that is not known": { state: "gone" },
    "labels that are numbers": { labels: [1, 2] },
  })
) {
  test(`a record with ${what} names no endpoint`, (t) => {
    t.is(decode(fields), undefined);
  });
}

test("a record with one odd field is an endpoint with usable fields, or none", (t) => {
  const value = fc.oneof(
    fc.jsonValue(),
    fc.double(),
    fc.constantFrom("1e400", -1, 0, 1e300, "10.2.0.7:70000", "", {}, []),
  );
  const change = fc.oneof(
    fc.tuple(fc.constantFrom(...Object.keys(RECORD)), value)
      .map(([name, odd]) => ({ [name]: odd })),
    fc.tuple(fc.constantFrom("cpu", "mem_mb", "gpu"), value)
      .map(([name, odd]) => ({ room: { ...RECORD.room, [name]: odd } })),
  );
  const property = fc.property(change, (fields) => {
    const info = decode(fields);
    if (!info) return true;
    const amounts = Object.values(info.capacity);
    return amounts.every((it) => Number.isSafeInteger(it) && it >= 0) &&
      URL.canParse(`http://${info.address}/`) &&
      Number.isSafeInteger(info.bornAt) && info.service !== "";
  });
  t.notThrows(() => fc.assert(property, { numRuns: 500 }));
});

class CollectingLog extends EventLog {
  readonly lines: [EventCode, EventFields][] = [];
  override record(code: EventCode, fields: EventFields = {}): void {
    this.lines.push([code, fields]);
  }
}

// One odd record among good ones ended the readers of a list, or they stopped following it.
test("odd records are left out once each, and the list is followed on", async (t) => {
  const time = new VirtualTime();
  const clock = new ProcessClock(time, "owner");
  const state = new MemoryStoreState();
  const put = (id: string, text: string) => {
    state.revision++;
    state.put(`servers/${id}`, text, 0);
  };
  const good = JSON.stringify(RECORD);
  put("w1", good);
  put("deep", `{"service":${nest(200_000)}}`);
  put("large", good.replace("16000", "1e400"));
  let listed: string[] = [];
  const log = new CollectingLog();
  const feed = new EndpointFeed({
    store: new MemoryStore(state, clock),
    records,
    clock,
    log,
    metrics: new Metrics(),
    maxAgeMs: 2_500,
    getStoreFailedAt: () => Number.NEGATIVE_INFINITY,
    onChanged: (endpoints) => listed = endpoints.map(({ id }) => id),
  });
  void feed.run();
  await time.advance(3_000);
  t.deepEqual(listed, ["w1"]);
  // The history is gone: the records are listed again.
  state.revision++;
  state.compactedRevision = state.revision + 1;
  await time.advance(3_000);
  state.compactedRevision = 0;
  const ignored = log.lines.filter(([code]) =>
    code === EventCode.EndpointRecordIgnored
  );
  t.deepEqual(ignored.map(([, { endpoint }]) => endpoint).sort(), [
    "deep",
    "large",
  ]);
  put("w2", good);
  put("w1", good.replace("8568", "99999"));
  await time.advance(2_000);
  t.deepEqual(listed, ["w2"]);
  put("w1", good);
  await time.advance(2_000);
  t.deepEqual(listed.toSorted(), ["w1", "w2"]);
});
