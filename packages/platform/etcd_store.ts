import { Buffer } from "node:buffer";
import { z } from "zod";
import { decodeUtf8, FormatError } from "../base/mod.ts";
import { HttpJsonClient } from "./http_json.ts";
import { Store } from "./store.ts";
import type {
  CommitResult,
  KeyRange,
  StoreCommit,
  StoreRecord,
  StoreSnapshot,
} from "./types.ts";

const STORE_CONNECTIONS = 2;

const kvSchema = z.object({
  key: z.string(),
  value: z.string().default(""),
  mod_revision: z.coerce.number(),
});

const txnSchema = z.object({
  header: z.object({ revision: z.coerce.number() }),
  succeeded: z.boolean().default(false),
  responses: z.array(z.object({
    response_range: z.object({ kvs: z.array(kvSchema).default([]) })
      .optional(),
  })).default([]),
});

/** Client for the JSON gateway of the etcd v3 API. */
export class EtcdStore extends Store {
  readonly #url: string;
  readonly #timeoutMs: number;
  readonly #client: HttpJsonClient;

  constructor(
    options: { url: string; timeoutMs: number; localAddress?: string },
  ) {
    super();
    this.#url = options.url;
    this.#timeoutMs = options.timeoutMs;
    this.#client = new HttpJsonClient({
      connections: STORE_CONNECTIONS,
      connectTimeoutMs: options.timeoutMs,
      localAddress: options.localAddress,
    });
  }

  override async read(ranges: KeyRange[]): Promise<StoreSnapshot> {
    const success = ranges.map((range) => ({
      request_range: {
        key: encodeText(range.prefix),
        range_end: encodeBytes(findPrefixEnd(range.prefix)),
        min_mod_revision: String(range.minModRevision ?? 0),
      },
    }));
    const answer = await this.#sendTxn({ compare: [], success });
    return {
      revision: answer.header.revision,
      ranges: answer.responses.map((response) =>
        (response.response_range?.kvs ?? []).map(decodeRecord)
      ),
    };
  }

  override async commit(commit: StoreCommit): Promise<CommitResult> {
    const compare = commit.compares.map(({ key, modRevision }) => ({
      key: encodeText(key),
      target: "MOD",
      result: "EQUAL",
      mod_revision: String(modRevision),
    }));
    const success = commit.puts.map(({ key, value }) => ({
      request_put: { key: encodeText(key), value: encodeText(value) },
    }));
    const answer = await this.#sendTxn({ compare, success });
    return { succeeded: answer.succeeded, revision: answer.header.revision };
  }

  override async close(): Promise<void> {
    await this.#client.close();
  }

  async #sendTxn(body: unknown): Promise<z.infer<typeof txnSchema>> {
    const answer = await this.#client.send({
      method: "POST",
      url: `${this.#url}/v3/kv/txn`,
      body,
      timeoutMs: this.#timeoutMs,
    });
    const parsed = txnSchema.safeParse(answer);
    if (parsed.success) return parsed.data;
    throw new FormatError("Cannot parse the answer of the store");
  }
}

function decodeRecord(kv: z.infer<typeof kvSchema>): StoreRecord {
  const key = Buffer.from(kv.key, "base64").toString();
  const value = decodeUtf8(Buffer.from(kv.value, "base64"));
  if (value !== undefined) return { key, value, modRevision: kv.mod_revision };
  throw new FormatError(`Cannot read ${key}: the value is not UTF-8`);
}

function encodeText(text: string): string {
  return encodeBytes(Buffer.from(text));
}

function encodeBytes(bytes: Buffer): string {
  return bytes.toString("base64");
}

/** Returns the first key after all keys with a prefix. */
function findPrefixEnd(prefix: string): Buffer {
  const end = Buffer.from(prefix);
  end[end.length - 1]++;
  return end;
}
