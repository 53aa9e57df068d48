/** Clients of the platform's key-value store and VM list. */
export * from "./etcd_store.ts";
export * from "./http_json.ts";
export * from "./http_vm_list.ts";
export * from "./store.ts";
export * from "./types.ts";
export * from "./vm_list.ts";
