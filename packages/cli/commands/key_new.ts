import { appendFileSync, existsSync, readFileSync } from "node:fs";
import { createKey, nameSchema } from "../../config/mod.ts";
import { CommandError } from "../errors.ts";
import { requireOption } from "../require_option.ts";
import { type Command, ExitCode } from "../types.ts";

/** Creates a key for a caller or an operator. */
export const keyNewCommand: Command = {
  name: "key new",
  summary: "create a key; it is printed once, only its hash is stored",
  usage: "baobabhead key new --name NAME (--team TEAM --file FILE.ini | " +
    "--operator)",
  options: {
    name: { type: "string" },
    team: { type: "string" },
    file: { type: "string" },
    operator: { type: "boolean" },
  },
  help: [
    "--name NAME   name of the key, needed to revoke it later",
    "--team TEAM   team that the key belongs to",
    "--file FILE   configuration file to which the key's hash is added; the " +
    "key is valid after `apply`",
    "--operator    print the hash for `[operators] key_hash` of the settings",
  ],
  run(input) {
    const name = requireOption(input, "name");
    const parsed = nameSchema.safeParse(name);
    if (!parsed.success) {
      const [issue] = parsed.error.issues;
      throw new CommandError(`--name ${issue.message}`, ExitCode.Usage);
    }
    const key = createKey(name);
    if (!input.values.operator) {
      const team = requireOption(input, "team");
      addKeyToFile(requireOption(input, "file"), {
        name,
        team,
        hash: key.hash,
      });
    }
    return {
      code: ExitCode.Ok,
      text: `key:  ${key.text}\nhash: ${key.hash}`,
      json: { name, key: key.text, hash: key.hash },
    };
  },
};

function addKeyToFile(
  file: string,
  key: { name: string; team: string; hash: string },
): void {
  const section = `[key.${key.name}]`;
  if (existsSync(file) && readFileSync(file, "utf8").includes(section)) {
    throw new CommandError(
      `Cannot add ${section}: ${file} already contains it`,
      ExitCode.Invalid,
    );
  }
  const lines = [section, `team = ${key.team}`, `hash = ${key.hash}`];
  appendFileSync(file, `\n${lines.join("\n")}\n`);
}
