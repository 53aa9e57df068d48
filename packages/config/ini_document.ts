import { parse } from "ini";
import type { ConfigIssue } from "./types.ts";

/** A parsed INI file with the line number of each section and key. */
export interface IniDocument {
  file: string;
  values: Record<string, unknown>;
  /** Line numbers, from 1, by dotted path, for example `team.norte.share`. */
  lines: Map<string, number>;
  issues: ConfigIssue[];
}

const SECTION_LINE = /^\s*\[([^\]]+)\]\s*$/;
const KEY_LINE = /^\s*([^=;#[]+?)\s*=/;
const IGNORED_LINE = /^\s*([;#].*)?$/;

/** Parses INI text. Collects syntax issues in the result and never throws. */
export function parseIni(file: string, text: string): IniDocument {
  const document: IniDocument = {
    file,
    values: parse(text),
    lines: new Map(),
    issues: [],
  };
  let section = "";
  text.split(/\r?\n/).forEach((line, index) => {
    section = readLine(document, { line, lineNumber: index + 1, section });
  });
  return document;
}

/**
 * Returns the line of a key. Falls back to its closest enclosing section, then
 * to line 1.
 */
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

/**
 * Records the section or key on a line. Returns the section that the line
 * belongs to or begins.
 */
function readLine(
  document: IniDocument,
  input: { line: string; lineNumber: number; section: string },
): string {
  const { line, lineNumber, section } = input;
  const header = SECTION_LINE.exec(line);
  if (header) {
    recordLine(document, header[1], { line: lineNumber });
    return header[1];
  }
  const key = KEY_LINE.exec(line);
  if (key) {
    const name = key[1].replace(/\[\]$/, "");
    const path = section ? `${section}.${name}` : name;
    // Repeated `key[]` lines form a list and are not duplicates.
    if (key[1].endsWith("[]")) document.lines.set(path, lineNumber);
    else recordLine(document, path, { line: lineNumber });
    return section;
  }
  if (!IGNORED_LINE.test(line)) {
    addIssue(document, {
      line: lineNumber,
      key: section,
      message: "expected `[section]` or `key = value`",
    });
  }
  return section;
}

function recordLine(
  document: IniDocument,
  path: string,
  options: { line: number },
): void {
  const { line } = options;
  const firstLine = document.lines.get(path);
  if (firstLine === undefined) {
    document.lines.set(path, line);
    return;
  }
  addIssue(document, {
    line,
    key: path,
    message: `is declared twice; first on line ${firstLine}`,
  });
}

function addIssue(
  document: IniDocument,
  issue: Omit<ConfigIssue, "file">,
): void {
  document.issues.push({ file: document.file, ...issue });
}
