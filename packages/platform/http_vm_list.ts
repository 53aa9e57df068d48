import { z } from "zod";
import { FormatError } from "../base/mod.ts";
import { HttpJsonClient } from "./http_json.ts";
import { type VmListing, VmRole, VmState } from "./types.ts";
import { VmList } from "./vm_list.ts";

const listingSchema = z.object({
  revision: z.number(),
  complete: z.boolean(),
  removed: z.array(z.string()),
  changed: z.array(z.object({
    id: z.string(),
    role: z.enum(VmRole),
    domain: z.string(),
    rack: z.string(),
    state: z.enum(VmState),
    address: z.string(),
    size: z.object({
      cores: z.number(),
      memoryMb: z.number(),
      accelerators: z.number(),
    }),
    slots: z.number(),
    connections: z.number(),
  })),
});

/** HTTP client for the VM list of one failure domain. */
export class HttpVmList extends VmList {
  readonly #url: string;
  readonly #timeoutMs: number;
  readonly #client: HttpJsonClient;

  constructor(
    options: {
      url: string;
      domain: string;
      timeoutMs: number;
      localAddress?: string;
    },
  ) {
    super();
    const domain = encodeURIComponent(options.domain);
    this.#url = `${options.url}/v1/vms?domain=${domain}`;
    this.#timeoutMs = options.timeoutMs;
    this.#client = new HttpJsonClient({
      connections: 1,
      connectTimeoutMs: options.timeoutMs,
      localAddress: options.localAddress,
    });
  }

  override async fetchChanges(since: number): Promise<VmListing> {
    const answer = await this.#client.send({
      method: "GET",
      url: `${this.#url}&since=${since}`,
      timeoutMs: this.#timeoutMs,
    });
    const parsed = listingSchema.safeParse(answer);
    if (parsed.success) return parsed.data;
    throw new FormatError("Cannot parse the answer of the VM list");
  }

  override async close(): Promise<void> {
    await this.#client.close();
  }
}
