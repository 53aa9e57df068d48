import type { EndpointInfo } from "../../packages/cell/mod.ts";
import type { SiteConfig } from "../../packages/scheduler/mod.ts";
import { NoUpkeepRecords } from "./no_upkeep_records.ts";

/** Capacity of each endpoint. */
export const ENDPOINT_CAPACITY = {
  milliCores: 6_000,
  memoryMb: 6_000,
  accelerators: 0,
};

/** Site records in which endpoints differ only in the id in their key. */
export class EndpointIdRecords extends NoUpkeepRecords {
  override readonly configKey = "config";
  override readonly endpointPrefix = "endpoints/";

  override decodeConfig(): SiteConfig {
    return { version: 1, queues: [], organisations: [], maxBodyBytes: 1_000 };
  }

  /** `text`: start of the endpoint's lifetime, Unix milliseconds; may be empty. */
  override decodeEndpoint(key: string, text: string): EndpointInfo {
    const id = key.slice(this.endpointPrefix.length);
    return {
      id,
      address: id,
      service: "desk",
      domain: "a",
      labels: [],
      rack: "",
      capacity: ENDPOINT_CAPACITY,
      isDraining: false,
      bornAt: Number(text),
    };
  }
}
