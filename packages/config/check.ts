import { readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";
import type { z } from "zod";
import { findLine, type IniDocument, parseIni } from "./ini_document.ts";
import { configurationSchema, listSchema } from "./schema.ts";
import type { ConfigIssue, Configuration } from "./types.ts";

/** The validated configuration, or every issue found in its files. */
export interface CheckResult {
  configuration?: Configuration;
  issues: ConfigIssue[];
}

/**
 * Reads all INI files in a directory and validates them together as one
 * configuration.
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
    const message = "contains no .ini file; at least one is required";
    return { issues: [{ file: directory, line: 1, key: "", message }] };
  }
  return checkDocuments(documents);
}

/** Validates parsed INI files together as one configuration. */
export function checkDocuments(documents: IniDocument[]): CheckResult {
  const issues = documents.flatMap((document) => document.issues);
  const merged: RawSectionsByKind = {};
  for (const document of documents) mergeDocument(merged, document, issues);
  const parsed = configurationSchema.safeParse(merged);
  const unlocatedIssues = findTeamReferenceIssues(merged);
  for (const issue of parsed.error?.issues ?? []) {
    unlocatedIssues.push({ path: issue.path, message: describeIssue(issue) });
  }
  issues.push(
    ...unlocatedIssues.map((unlocated) => locateIssue(documents, unlocated)),
  );
  if (!parsed.success || issues.length > 0) {
    return { issues: sortIssues(issues) };
  }
  const { team: teams, key: keys, queue: queues } = parsed.data;
  return { configuration: { teams, keys, queues }, issues };
}

/** Formats an issue as `file:line: key: message`. */
export function formatIssue(issue: ConfigIssue): string {
  const key = issue.key ? ` ${issue.key}:` : "";
  return `${issue.file}:${issue.line}:${key} ${issue.message}`;
}

/** Describes a schema issue; unknown keys are listed by name. */
export function describeIssue(issue: z.core.$ZodIssue): string {
  if (issue.code === "unrecognized_keys") {
    return `unknown key ${issue.keys.map((key) => `\`${key}\``).join(", ")}`;
  }
  if (issue.message.endsWith("received undefined")) return "is missing";
  if (issue.code === "invalid_key") {
    return issue.issues.map((nestedIssue) => nestedIssue.message).join("; ");
  }
  return issue.message;
}

/** Unvalidated sections by kind (`team`, `key`, `queue`), then by name. */
type RawSectionsByKind = Record<string, Record<string, unknown>>;

/** An issue whose file and line are not resolved yet. */
interface UnlocatedIssue {
  path: PropertyKey[];
  message: string;
}

function mergeDocument(
  merged: RawSectionsByKind,
  document: IniDocument,
  issues: ConfigIssue[],
): void {
  for (const [kind, sections] of Object.entries(document.values)) {
    if (typeof sections !== "object" || sections === null) {
      const message = "is outside of any section; use [team.NAME], " +
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

function locateIssue(
  documents: IniDocument[],
  issue: UnlocatedIssue,
): ConfigIssue {
  const [kind, name] = issue.path;
  const section = `${String(kind)}.${String(name)}`;
  const document =
    documents.find((candidate) => candidate.lines.has(section)) ??
      documents.find((candidate) => kind as string in candidate.values) ??
      documents[0];
  return {
    file: document.file,
    line: findLine(document, issue.path),
    key: issue.path.join("."),
    message: issue.message,
  };
}

/**
 * Checks the team references of keys and queues. Uses the unvalidated values,
 * so that these issues are reported together with schema issues.
 */
function findTeamReferenceIssues(merged: RawSectionsByKind): UnlocatedIssue[] {
  const isDeclaredTeam = (name: unknown) => String(name) in (merged.team ?? {});
  const issues: UnlocatedIssue[] = [];
  for (const [name, key] of Object.entries(merged.key ?? {})) {
    const team = (key as { team?: unknown }).team;
    if (team === undefined || isDeclaredTeam(team)) continue;
    issues.push({
      path: ["key", name, "team"],
      message: describeUndeclaredTeam(team),
    });
  }
  for (const [name, section] of Object.entries(merged.queue ?? {})) {
    const queue = section as Record<string, unknown>;
    const teams = listSchema.safeParse(queue.teams ?? []).data ?? [];
    for (const team of teams.filter((team) => !isDeclaredTeam(team))) {
      const message = describeUndeclaredTeam(team);
      issues.push({ path: ["queue", name, "teams"], message });
    }
    const isOpen = String(queue.open ?? "false") === "true";
    if (isOpen && !isDeclaredTeam(queue.open_team)) {
      const message = "an open queue must name a declared team to which its " +
        "work is charged";
      issues.push({ path: ["queue", name, "open_team"], message });
    }
    if (!isOpen && teams.length === 0) {
      const message = "must name at least one team, or be open";
      issues.push({ path: ["queue", name, "teams"], message });
    }
  }
  return issues;
}

function describeUndeclaredTeam(team: unknown): string {
  return `names team \`${team}\`, which is not declared`;
}

function sortIssues(issues: ConfigIssue[]): ConfigIssue[] {
  return issues.sort((a, b) => a.file.localeCompare(b.file) || a.line - b.line);
}
