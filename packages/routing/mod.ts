/** Routing of work: choosing an owner, trying other owners, placing gangs. */
export * from "./choose_owner.ts";
export * from "./constants.ts";
export * from "./gang_router.ts";
export * from "./owner_gateway.ts";
export * from "./routed_work.ts";
export * from "./router.ts";
export * from "./types.ts";
