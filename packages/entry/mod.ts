/** The entry daemon: loops, services, HTTP applications and their wiring. */
export * from "./caller_app.ts";
export * from "./config_service.ts";
export * from "./daemon.ts";
export * from "./entry_node.ts";
export * from "./operator_app.ts";
export * from "./peer_handlers.ts";
export * from "./types.ts";
export * from "./wiring.ts";
