/** An IP address and a port. */
export interface Address {
  host: string;
  port: number;
}

/** Settings of one daemon, as its INI file gives them. */
export interface Settings {
  vm: { id: string; domain: string };
  listen: {
    callers: Address;
    peers: Address;
    /** Where other entries reach `peers`, if that is another address. */
    advertise_peers?: Address;
  };
  platform: {
    store: string;
    vm_list: string;
    /** Longest delay of the platform's VM list, in milliseconds. */
    vm_list_lag_ms: number;
    /** Bound on one call to the platform, in milliseconds. */
    timeout_ms: number;
  };
  operators: { key_hash: string };
  peers: { token: string; heartbeat_ms: number };
  endpoints: { poll_ms: number; task_lease_ms: number };
  log: { level: string };
}
