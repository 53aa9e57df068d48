import process from "node:process";
import { buildEntryNode, Daemon } from "../../entry/mod.ts";
import { readSettings } from "../../settings/mod.ts";
import { requireOption } from "../require_option.ts";
import { type Command, ExitCode } from "../types.ts";

/** Runs an entry until it has drained. */
export const serveCommand: Command = {
  name: "serve",
  summary: "run an entry until SIGTERM, SIGINT or `drain`",
  usage: "baobabhead serve --settings FILE.ini",
  options: { settings: { type: "string" } },
  help: ["--settings FILE   settings file of the entry"],
  async run(input) {
    const settings = readSettings(requireOption(input, "settings"));
    const node = buildEntryNode(settings);
    const stopped = new Promise<void>((resolve) => {
      const daemon = new Daemon(node, resolve);
      process.on("SIGTERM", () => void daemon.stop());
      process.on("SIGINT", () => void daemon.stop());
      daemon.start().catch((error) => {
        process.stderr.write(`${error.message}\n`);
        process.exit(ExitCode.Failed);
      });
    });
    await stopped;
    return { code: ExitCode.Ok };
  },
};
