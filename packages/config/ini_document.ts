import { parse } from "ini";
import type { ConfigIssue } from "./types.ts";

/** A parsed INI file that remembers where each key stands. */
export interface IniDocument {
  file: string;
  values: Record<string, unknown>;
  lines: Map<string, number>;
  issues: ConfigIssue[];
}

const SECTION_LINE = /^\s*\[([^\]]+)\]\s*$/;
const KEY_LINE = /^\s*([^=;#[]+?)\s*=/;
const IGNORED_LINE = /^\s*([;#].*)?$/;

/** Parses INI text; faults of form are collected, never thrown. */
export function parseIni(file: string, text: string): IniDocument {
  const document: IniDocument = {
    file,
    values: parse(text),
    lines: new Map(),
    issues: [],
  };
  let section = "";
  text.split(/\r?\n/).forEach((line, index) => {
    section = readLine(document, { line, number: index + 1, section });
  });
  return document;
}

/** Returns the line of a key, or of the closest section above it. */
export function findLine(
  document: IniDocument,
  path: readonly PropertyKey[],
): number {
  for (let length = path.length; length > 0; length--) {
    const line = document.lines.get(path.slice(0, length).join("."));
    if (line !== undefined) return line;
  }
  return 1;
}

function readLine(
  document: IniDocument,
  place: { line: string; number: number; section: string },
): string {
  const { line, number, section } = place;
  const header = SECTION_LINE.exec(line);
  if (header) {
    recordLine(document, header[1], { line: number });
    return header[1];
  }
  const key = KEY_LINE.exec(line);
  if (key) {
    const name = key[1].replace(/\[\]$/, "");
    const path = section ? `${section}.${name}` : name;
    if (key[1].endsWith("[]")) document.lines.set(path, number);
    else recordLine(document, path, { line: number });
    return section;
  }
  if (!IGNORED_LINE.test(line)) {
    addIssue(document, {
      line: number,
      key: section,
      message: "expected `[section]` or `key = value`",
    });
  }
  return section;
}

function recordLine(
  document: IniDocument,
  path: string,
  place: { line: number },
): void {
  const { line } = place;
  const earlier = document.lines.get(path);
  if (earlier === undefined) {
    document.lines.set(path, line);
    return;
  }
  addIssue(document, {
    line,
    key: path,
    message: `stands twice; first on line ${earlier}`,
  });
}

function addIssue(
  document: IniDocument,
  issue: Omit<ConfigIssue, "file">,
): void {
  document.issues.push({ file: document.file, ...issue });
}
