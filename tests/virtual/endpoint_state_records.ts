import type { EndpointInfo } from "../../packages/cell/mod.ts";
import { EndpointIdRecords } from "./endpoint_id_records.ts";

/** Site records in which endpoints describe their address, start and room. */
export class EndpointStateRecords extends EndpointIdRecords {
  /** `text`: JSON of the described fields. */
  override decodeEndpoint(key: string, text: string): EndpointInfo {
    return { ...super.decodeEndpoint(key, ""), ...JSON.parse(text) };
  }
}
