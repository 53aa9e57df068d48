import type { ConnectionLimits } from "../connections/mod.ts";

/** An IP address and a port. */
export interface Address {
  host: string;
  port: number;
}

/** Settings of one daemon, by section and key of its INI file. */
export interface Settings {
  vm: { id: string; domain: string };
  listen: {
    callers: Address;
    peers: Address;
    /** Address at which peers reach this entry; defaults to `peers`. */
    advertise_peers?: Address;
  };
  callers: ConnectionLimits;
  /** `kept_outcomes`: final outcomes of work that can still be asked for. */
  work: { kept_outcomes: number };
  platform: {
    store: string;
    vm_list: string;
    /** Maximum lag of the platform's VM list, in milliseconds. */
    vm_list_lag_ms: number;
    /** Timeout of one call to the platform, in milliseconds. */
    timeout_ms: number;
  };
  operators: { key_hash: string };
  peers: { token: string; heartbeat_ms: number };
  endpoints: { poll_ms: number; task_lease_ms: number };
  log: { level: string };
}
