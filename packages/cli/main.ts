#!/usr/bin/env node
import process from "node:process";
import { runCommandLine } from "./run.ts";

const output = await runCommandLine(process.argv.slice(2));
if (output.text) process.stdout.write(`${output.text}\n`);
if (output.error) process.stderr.write(`${output.error}\n`);
process.exitCode = output.code;
