import { readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";
import type { z } from "zod";
import { findLine, type IniDocument, parseIni } from "./ini_document.ts";
import { configurationSchema, listSchema } from "./schema.ts";
import type { ConfigIssue, Configuration } from "./types.ts";

/** A configuration, or every fault that was found in its files. */
export interface CheckResult {
  configuration?: Configuration;
  issues: ConfigIssue[];
}

/**
 * Reads all INI files of a directory and checks them as one configuration.
 *
 * @throws {Error} when the directory cannot be read
 */
export function checkDirectory(directory: string): CheckResult {
  const files = readdirSync(directory).filter((name) => name.endsWith(".ini"));
  const documents = files.sort().map((name) => {
    const file = join(directory, name);
    return parseIni(file, readFileSync(file, "utf8"));
  });
  if (documents.length === 0) {
    const message = "holds no .ini file; at least one is needed";
    return { issues: [{ file: directory, line: 1, key: "", message }] };
  }
  return checkDocuments(documents);
}

/** Checks parsed files as one configuration. */
export function checkDocuments(documents: IniDocument[]): CheckResult {
  const issues = documents.flatMap((document) => document.issues);
  const merged: RawSections = {};
  for (const document of documents) mergeDocument(merged, document, issues);
  const parsed = configurationSchema.safeParse(merged);
  const faults = findDanglingNames(merged);
  for (const issue of parsed.error?.issues ?? []) {
    faults.push({ path: issue.path, message: describeIssue(issue) });
  }
  issues.push(...faults.map((fault) => locateIssue(documents, fault)));
  if (!parsed.success || issues.length > 0) {
    return { issues: sortIssues(issues) };
  }
  const { team: teams, key: keys, queue: queues } = parsed.data;
  return { configuration: { teams, keys, queues }, issues };
}

/** Formats a fault as `file:line: key: message`. */
export function formatIssue(issue: ConfigIssue): string {
  const key = issue.key ? ` ${issue.key}:` : "";
  return `${issue.file}:${issue.line}:${key} ${issue.message}`;
}

/** Describes a schema fault, naming the keys that are not known. */
export function describeIssue(issue: z.core.$ZodIssue): string {
  if (issue.code === "unrecognized_keys") {
    return `unknown key ${issue.keys.map((key) => `\`${key}\``).join(", ")}`;
  }
  if (issue.message.endsWith("received undefined")) return "is missing";
  if (issue.code === "invalid_key") {
    return issue.issues.map((inner) => inner.message).join("; ");
  }
  return issue.message;
}

/** Values by kind of section and name, before any check. */
type RawSections = Record<string, Record<string, unknown>>;

interface Fault {
  path: PropertyKey[];
  message: string;
}

function mergeDocument(
  merged: RawSections,
  document: IniDocument,
  issues: ConfigIssue[],
): void {
  for (const [kind, sections] of Object.entries(document.values)) {
    if (typeof sections !== "object" || sections === null) {
      const message = "stands outside a section; use [team.NAME], " +
        "[key.NAME] or [queue.NAME]";
      const line = findLine(document, [kind]);
      issues.push({ file: document.file, line, key: kind, message });
      continue;
    }
    merged[kind] ??= {};
    for (const [name, section] of Object.entries(sections)) {
      if (name in merged[kind]) {
        const key = `${kind}.${name}`;
        const line = findLine(document, [kind, name]);
        const message = "is declared in more than one file";
        issues.push({ file: document.file, line, key, message });
        continue;
      }
      merged[kind][name] = section;
    }
  }
}

function locateIssue(documents: IniDocument[], fault: Fault): ConfigIssue {
  const [kind, name] = fault.path;
  const section = `${String(kind)}.${String(name)}`;
  const document =
    documents.find((candidate) => candidate.lines.has(section)) ??
      documents.find((candidate) => kind as string in candidate.values) ??
      documents[0];
  return {
    file: document.file,
    line: findLine(document, fault.path),
    key: fault.path.join("."),
    message: fault.message,
  };
}

/** Looks at the raw values, so that it works beside faults of form. */
function findDanglingNames(merged: RawSections): Fault[] {
  const isTeam = (name: unknown) => String(name) in (merged.team ?? {});
  const faults: Fault[] = [];
  for (const [name, key] of Object.entries(merged.key ?? {})) {
    const team = (key as { team?: unknown }).team;
    if (team === undefined || isTeam(team)) continue;
    faults.push({ path: ["key", name, "team"], message: describeName(team) });
  }
  for (const [name, section] of Object.entries(merged.queue ?? {})) {
    const queue = section as Record<string, unknown>;
    const teams = listSchema.safeParse(queue.teams ?? []).data ?? [];
    for (const team of teams.filter((team) => !isTeam(team))) {
      const message = describeName(team);
      faults.push({ path: ["queue", name, "teams"], message });
    }
    const isOpen = String(queue.open ?? "false") === "true";
    if (isOpen && !isTeam(queue.open_team)) {
      const message = "an open queue must name a declared team that its " +
        "work is counted for";
      faults.push({ path: ["queue", name, "open_team"], message });
    }
    if (!isOpen && teams.length === 0) {
      const message = "must name at least one team, or be open";
      faults.push({ path: ["queue", name, "teams"], message });
    }
  }
  return faults;
}

function describeName(team: unknown): string {
  return `names team \`${team}\`, which is not declared`;
}

function sortIssues(issues: ConfigIssue[]): ConfigIssue[] {
  return issues.sort((a, b) => a.file.localeCompare(b.file) || a.line - b.line);
}
