import process from "node:process";
import { listAcceptedItems } from "../config/mod.ts";
import { listOwnedShards } from "../membership/mod.ts";
import type { EntryNode } from "./entry_node.ts";

/** Describes the status of this entry and its peers for operators. */
export function describeStatus(node: EntryNode) {
  const now = node.parts.clock.now();
  const { member, control, config } = node;
  const self = node.describeSelf();
  const entries = [{ domain: control.domain, member }, ...node.peers.list()]
    .map((entry) => {
      const isSelf = entry.member === member;
      const peer = node.peers.get(entry.member.incarnation);
      const heartbeat = isSelf ? self : peer?.heartbeat;
      const shards = listOwnedShards(
        control.findDomain(entry.domain),
        entry.member.incarnation,
      );
      return {
        vm: entry.member.vm,
        domain: entry.domain,
        incarnation: entry.member.incarnation,
        callers: entry.member.callers,
        reachable: isSelf || (!!peer && node.peers.isReachable(peer, now)),
        draining: heartbeat?.draining ?? false,
        config_version: heartbeat?.head.version ?? 0,
        config_confirmed: heartbeat?.confirmed ?? 0,
        config_accepted: heartbeat?.head.accepted ?? 0,
        shards: shards.length,
        load: heartbeat?.load,
      };
    });
  return {
    vm: member.vm,
    domain: control.domain,
    ready: node.isReady(),
    platform: node.controlLoop.platform,
    store_reverted: control.isReverted,
    config: config.state.head,
    entries,
  };
}

/** Dumps the state of this entry as JSON values, for debugging. */
export function dumpState(node: EntryNode) {
  const { control, config, workRegistry, keyService } = node;
  const { state } = node.driver.engine;
  return {
    status: describeStatus(node),
    at: node.parts.clock.now(),
    domains: Object.fromEntries(
      control.listDomains().map((name) => [name, control.findDomain(name)]),
    ),
    grants: control.grants.listGrants(config.listLimits()),
    usage: state.listUsage(),
    left_behind: state.handedOverTasks,
    leftovers: control.listPredecessorTasks(),
    config: { head: config.state.head, items: listAcceptedItems(config.state) },
    endpoints: state.endpointList.map((endpoint) => ({
      ...endpoint.ledger.spec,
      status: endpoint.status,
      used: endpoint.ledger.used,
      tasks: [...endpoint.ledger.list()],
      failure_rate: endpoint.failureRate,
    })),
    waiting: [...state.queue.list()].map(({ attempt, enqueuedAt }) => ({
      id: attempt.id,
      team: attempt.team,
      queue: attempt.queue,
      deadline: attempt.deadline,
      enqueued_at: enqueuedAt,
    })),
    attempts: state.attempts.size,
    starts: state.starts,
    requests: { pending: workRegistry.pending, remembered: workRegistry.size },
    idempotency_keys: keyService.home.size,
    histograms: node.parts.metrics.summarizeHistograms(),
    memory: process.memoryUsage(),
    cpu_us: process.cpuUsage(),
  };
}
