import { mkdtempSync, readFileSync } from "node:fs";
import { createServer } from "node:http";
import { tmpdir } from "node:os";
import { join } from "node:path";
import test from "ava";
import { COMMANDS, ExitCode, runCommandLine } from "./mod.ts";

test("`check` reports every error of an invalid configuration", async (t) => {
  const output = await runCommandLine(["check", "examples/broken"]);
  t.is(output.code, ExitCode.Invalid);
  const lines = output.error!.split("\n");
  const expected = [
    /queues\.ini:2: queue\.filings\.teams: names team `oeste`/,
    /queues\.ini:3: queue\.filings\.kinds\.1: .*"service"\|"batch"\|"gang"/,
    /queues\.ini:5: queue\.lookups\.teams: must name at least one team/,
    /queues\.ini:6: queue\.lookups\.open: must be true or false/,
    /queues\.ini:8: queue\.filings: is declared twice; first on line 1/,
    /queues\.ini:11: .*expected `\[section\]` or `key = value`/,
    /teams\.ini:3: team\.norte\.share: must be a whole number from 1 to/,
    /teams\.ini:4: team\.norte\.limit: must be a whole number from 0 to/,
    /teams\.ini:6: team\.Sur: must be 1 to 63 of a-z/,
    /teams\.ini:12: team\.este: unknown key `colour`|unknown key `colour`/,
  ];
  for (const pattern of expected) {
    t.true(lines.some((line) => pattern.test(line)), String(pattern));
  }
});

test("`check` accepts the example configurations", async (t) => {
  for (const example of ["guanacaste", "vanua"]) {
    const output = await runCommandLine([
      "check",
      `examples/${example}/config`,
    ]);
    t.is(output.code, ExitCode.Ok, output.error);
  }
});

test("`check` reports every error of a settings file", async (t) => {
  const output = await runCommandLine([
    "check",
    "examples/broken/settings/entry.ini",
  ]);
  t.is(output.code, ExitCode.Invalid);
  for (
    const pattern of [
      /listen\.callers: must be an IP address and a port/,
      /listen\.peers: is missing/,
      /platform\.store: must be a URL/,
      /operators\.key_hash: must be the 64/,
      /peers\.token: must have at least 16/,
      /vm: unknown key `colour`/,
    ]
  ) t.regex(output.error!, pattern);
});

test("every command has help with options and exit codes", async (t) => {
  for (const command of COMMANDS) {
    const output = await runCommandLine([
      ...command.name.split(" "),
      "--help",
    ]);
    t.is(output.code, ExitCode.Ok);
    t.true(output.text!.includes(command.usage));
    t.regex(output.text!, /Exit codes:/);
    for (const option of Object.keys(command.options)) {
      t.true(output.text!.includes(`--${option}`), `${command.name} ${option}`);
    }
  }
});

test("an invalid command line reports what is wrong", async (t) => {
  const unknownCommand = await runCommandLine(["fly"]);
  t.is(unknownCommand.code, ExitCode.Usage);
  t.regex(unknownCommand.error!, /Cannot find command fly/);
  const badOption = await runCommandLine(["status", "--colour"]);
  t.is(badOption.code, ExitCode.Usage);
  t.regex(badOption.error!, /--colour.*[\s\S]*status --help/);
  const missingOption = await runCommandLine(["serve"]);
  t.regex(missingOption.error!, /Missing required option --settings/);
});

test("`key new` prints a key once and stores only its hash", async (t) => {
  const file = join(mkdtempSync(join(tmpdir(), "keys-")), "keys.ini");
  const args = ["key", "new", "--name", "k1", "--team", "norte"];
  const output = await runCommandLine([...args, "--file", file, "--json"]);
  const { key, hash } = JSON.parse(output.text!);
  const stored = readFileSync(file, "utf8");
  t.true(stored.includes(hash));
  t.false(stored.includes(key.split(".")[2]));
  const secondOutput = await runCommandLine([...args, "--file", file]);
  t.is(secondOutput.code, ExitCode.Invalid);
});

// Guards against commands that take the body of a refusal for an answer and print it,
// or fail on a missing field, with the exit code of a success.
test("commands fail when the entry refuses the call", async (t) => {
  const server = createServer((_, response) => {
    response.writeHead(503, { "content-type": "application/json" });
    response.end(JSON.stringify({ error: "this entry is not ready" }));
  });
  await new Promise<void>((resolve) =>
    server.listen(7_305, "127.54.0.9", resolve)
  );
  t.teardown(() => server.close());
  const config = "examples/vanua/config";
  for (
    const command of [
      ["status"],
      ["dump"],
      ["drain"],
      ["plan", config],
      ["apply", config],
      ["apply", config, "--base", "1"],
      ["cancel", "a~b~c"],
      ["submit", "--queue", "all"],
      ["job", "status", "1", "--queue", "all"],
    ]
  ) {
    const output = await runCommandLine([
      ...command,
      "--entry",
      "http://127.54.0.9:7305",
      "--key",
      "k",
    ]);
    t.is(output.code, ExitCode.Failed, command.join(" "));
    t.is(output.text, undefined, command.join(" "));
    t.regex(output.error ?? "", /not ready/, command.join(" "));
  }
});
