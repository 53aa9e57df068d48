/** Choice of owners, forwarding, gangs. */
export * from "./choose_owner.ts";
export * from "./constants.ts";
export * from "./gang_router.ts";
export * from "./owner_gateway.ts";
export * from "./routed_work.ts";
export * from "./router.ts";
export * from "./types.ts";
