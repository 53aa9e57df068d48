import test from "ava";
import {
  createDomainRecord,
  listOwnedShards,
  type Member,
  type MembershipView,
  planMembership,
  SHARDS_PER_DOMAIN,
} from "./mod.ts";

const FORMER_MEMBER = makeMember("a/v1/former");
const SELF = makeMember("a/v1/self");

function makeMember(incarnation: string): Member {
  return { vm: "v1", incarnation, callers: "v1:1", peers: "v1:2" };
}

function makeView(overrides: Partial<MembershipView>): MembershipView {
  return {
    self: SELF,
    hasJoined: false,
    draining: false,
    idle: true,
    gone: new Set(),
    reachable: new Set(),
    shardSizes: Array.from({ length: SHARDS_PER_DOMAIN }, () => 1),
    quiesced: new Map(),
    recovered: new Map(),
    ...overrides,
  };
}

function makeRecordOwnedByFormerMember() {
  const record = createDomainRecord(0);
  record.members.v1 = FORMER_MEMBER;
  for (const shard of record.shards) shard.owner = FORMER_MEMBER.incarnation;
  return record;
}

test("an entry that joins replaces its VM's former process", (t) => {
  const record = makeRecordOwnedByFormerMember();
  const plan = planMembership(record, makeView({}), { writer: "w" })!;
  t.true(plan.joined);
  t.deepEqual(plan.removedMembers, [FORMER_MEMBER.incarnation]);
  t.is(plan.record.members.v1.incarnation, SELF.incarnation);
  t.is(
    listOwnedShards(plan.record, SELF.incarnation).length,
    SHARDS_PER_DOMAIN,
  );
});

test("an entry that drains before it joins releases its VM's shards", (t) => {
  const record = makeRecordOwnedByFormerMember();
  const view = makeView({ draining: true });
  const plan = planMembership(record, view, { writer: "w" })!;
  t.deepEqual(plan.record.members, {});
  t.true(plan.left, "the drain is complete");
  t.is(listOwnedShards(plan.record, FORMER_MEMBER.incarnation).length, 0);
  for (const shard of plan.record.shards) {
    t.is(
      shard.predecessors[FORMER_MEMBER.incarnation],
      null,
      "may still run tasks",
    );
  }
});

test("an entry that drains before it joins changes no other member", (t) => {
  const record = makeRecordOwnedByFormerMember();
  const otherMember = { ...FORMER_MEMBER, vm: "v2", incarnation: "a/v2/other" };
  record.members = { v2: otherMember };
  for (const shard of record.shards) shard.owner = otherMember.incarnation;
  const view = makeView({ draining: true, reachable: new Set(["a/v2/other"]) });
  const plan = planMembership(record, view, { writer: "w" })!;
  t.true(plan.left);
  t.deepEqual(plan.record.members, { v2: otherMember });
  t.deepEqual(plan.record.shards, record.shards);
});
