import { execFile } from "node:child_process";
import { readFileSync } from "node:fs";
import { promisify } from "node:util";
import test from "ava";
import { v7 as makeUuid } from "uuid";
import { Fleet } from "../harness/fleet.ts";

const runFile = promisify(execFile);

function readExampleCommands(): string[] {
  const page = readFileSync("docs/CALLERS.md", "utf8");
  const blocks = [...page.matchAll(/```sh\n([\s\S]*?)```/g)];
  return blocks.flatMap(([, block]) =>
    block.replaceAll("\\\n", " ").trim().split("\n")
  );
}

test("the example commands of docs/CALLERS.md run and refer to the same work", async (t) => {
  const fleet = await Fleet.start({
    example: "guanacaste",
    network: "127.43",
  });
  t.teardown(() => fleet.stop());
  const entries = [...fleet.entries.values()];
  await fleet.waitForStatus(
    entries[0],
    (status) => status.entries.length === 9,
  );
  await fleet.applyConfig(entries[0]);
  await fleet.waitForEndpoints(30);
  const env: Record<string, string> = {
    ENTRY: entries[0].url,
    KEY: "bbh.coopeganado.example-secret-of-coopeganado",
    UUID: `norte/${makeUuid()}`,
  };
  const outputs: { verdict: string; work: string }[] = [];
  for (const command of readExampleCommands()) {
    const { stdout } = await runFile("sh", ["-c", command], { env });
    const output = JSON.parse(stdout);
    env.WORK ??= output.work;
    outputs.push(output);
  }
  t.deepEqual(outputs.map(({ verdict }) => verdict), ["ran", "ran", "ran"]);
  t.is(new Set(outputs.map(({ work }) => work)).size, 1);
});
