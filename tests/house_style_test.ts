import { readdirSync, readFileSync } from "node:fs";
import test from "ava";
import ts from "typescript";

const FIRST_WORD = /^[a-z]+/;

function listSources(folders = ["packages", "platform"]): string[] {
  return folders.flatMap((folder) =>
    readdirSync(folder, { recursive: true, encoding: "utf8" })
      .filter((file) => file.endsWith(".ts") && !file.endsWith("_test.ts"))
      .map((file) => `${folder}/${file}`)
  );
}

function readGlossaryVerbs(): Set<string> {
  const page = readFileSync("docs/GLOSSARY.md", "utf8");
  const section = page.slice(page.indexOf("## Function verbs"));
  const codeSpans = [...section.matchAll(/`([a-z ]+)`/g)];
  return new Set(codeSpans.flatMap(([, words]) => words.split(" ")));
}

function visitNodes(file: string, visitor: (node: ts.Node) => void): void {
  const text = readFileSync(file, "utf8");
  const source = ts.createSourceFile(file, text, ts.ScriptTarget.ES2022, true);
  const visitSubtree = (node: ts.Node) => {
    visitor(node);
    ts.forEachChild(node, visitSubtree);
  };
  visitSubtree(source);
}

test("function names begin with a verb of the glossary", (t) => {
  const verbs = readGlossaryVerbs();
  const violations: string[] = [];
  for (const file of listSources()) {
    visitNodes(file, (node) => {
      if (!ts.isFunctionDeclaration(node) && !ts.isMethodDeclaration(node)) {
        return;
      }
      const name = node.name?.getText().replace(/^#/, "") ?? "";
      const verb = FIRST_WORD.exec(name)?.[0] ?? "";
      if (name !== "now" && !verbs.has(verb)) {
        violations.push(`${file}: ${name}`);
      }
    });
  }
  t.deepEqual(violations, []);
});

/** Paths, keys and fields of the platform's protocols. */
const PLATFORM_NAMES =
  /kv-(key|range|watch|txn|lease|keep)|run-start|run-stop|baobabhead\/hold|op\/config|op\/evacuate|task_spec|api_keys|last_seen|until_ms|mem_mb|no_auth/;

test("names of the platform's protocols occur only in platform/", (t) => {
  const violations = listSources(["packages"]).filter((file) =>
    PLATFORM_NAMES.test(readFileSync(file, "utf8"))
  );
  t.deepEqual(violations, []);
});

test("every export has a doc comment", (t) => {
  const violations: string[] = [];
  for (const file of listSources()) {
    if (file.endsWith("mod.ts")) continue;
    visitNodes(file, (node) => {
      if (!ts.canHaveModifiers(node)) return;
      const isExported = ts.getModifiers(node)?.some((modifier) =>
        modifier.kind === ts.SyntaxKind.ExportKeyword
      );
      if (!isExported || ts.getJSDocCommentsAndTags(node).length > 0) return;
      violations.push(`${file}: ${node.getText().split("\n")[0]}`);
    });
  }
  t.deepEqual(violations, []);
});

const PRIMITIVES = new Set([
  ts.SyntaxKind.StringKeyword,
  ts.SyntaxKind.NumberKeyword,
  ts.SyntaxKind.BooleanKeyword,
]);

test("functions take at most two arguments and then options", (t) => {
  const violations: string[] = [];
  for (const file of listSources()) {
    visitNodes(file, (node) => {
      if (!ts.isFunctionDeclaration(node) && !ts.isMethodDeclaration(node)) {
        return;
      }
      const [, , thirdParameter] = node.parameters;
      const isPrimitive = thirdParameter?.type &&
        PRIMITIVES.has(thirdParameter.type.kind);
      if (node.parameters.length <= 3 && !isPrimitive) return;
      violations.push(`${file}: ${node.name?.getText()}`);
    });
  }
  t.deepEqual(violations, []);
});
