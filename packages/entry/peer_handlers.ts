import { EngineEventType } from "../engine/mod.ts";
import {
  type PeerHandlers,
  PeerRefusedError,
  WRONG_INCARNATION_CODE,
} from "../peers/mod.ts";
import type { EntryNode } from "./entry_node.ts";

/** Creates the handlers of the calls from other entries. */
export function createPeerHandlers(node: EntryNode): PeerHandlers {
  const checkTarget = (target: string) => {
    if (target === node.member.incarnation) return;
    const message = "The call is addressed to another incarnation";
    throw new PeerRefusedError(message, WRONG_INCARNATION_CODE);
  };
  return {
    "peer.heartbeat": (heartbeat) => node.heartbeats.receive(heartbeat),
    "config.fetch": ({ have }) => node.config.buildUpdate(have),
    "attempt.run": async ({ target, attempt }) => {
      checkTarget(target);
      return await node.driver.runAttempt(attempt);
    },
    "attempt.settle": ({ target, attempt, expires }) => {
      checkTarget(target);
      return node.driver.settleAttempt(attempt, expires);
    },
    "attempt.cancel": ({ target, attempt, expires }) => {
      checkTarget(target);
      const type = EngineEventType.Cancel;
      node.driver.handle({ type, attempt, expires });
      return null;
    },
    "gang.reserve": ({ target, request }) => {
      checkTarget(target);
      return node.driver.reserve(request);
    },
    "gang.release": ({ target, hold }) => {
      checkTarget(target);
      node.driver.handle({ type: EngineEventType.ReleaseReservation, hold });
      return null;
    },
    "key.begin": ({ target, begin }) => {
      checkTarget(target);
      return node.keyService.beginLocally(begin);
    },
    "key.finish": ({ target, key, token, outcome }) => {
      checkTarget(target);
      node.keyService.finishLocally(key, token, { outcome });
      return null;
    },
    "key.adopt": ({ target, transfers }) => {
      checkTarget(target);
      node.keyService.adopt(transfers);
      return null;
    },
    "work.find": ({ target, id, team }) => {
      checkTarget(target);
      return node.workRegistry.describe(id, team);
    },
    "work.cancel": async ({ target, id, team }) => {
      checkTarget(target);
      return await node.cancelLocalWork(id, team);
    },
  };
}
