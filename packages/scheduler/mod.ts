/** One entry of a cell: election, cell owner, caller service and wiring. */
export * from "./body_limit.ts";
export * from "./caller_service.ts";
export * from "./config_feed.ts";
export * from "./constants.ts";
export * from "./daemon.ts";
export * from "./election.ts";
export * from "./endpoint_feed.ts";
export * from "./endpoint_session.ts";
export * from "./evacuation_feed.ts";
export * from "./evacuation_role.ts";
export * from "./owner_gateway.ts";
export * from "./owner_role.ts";
export * from "./ports.ts";
export * from "./scheduler_node.ts";
export * from "./types.ts";
export * from "./upkeep_role.ts";
export * from "./wiring.ts";
