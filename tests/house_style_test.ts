import { readdirSync, readFileSync } from "node:fs";
import test from "ava";
import ts from "typescript";

const VERB = /^[a-z]+/;

function listSources(folders = ["packages", "platform"]): string[] {
  return folders.flatMap((folder) =>
    readdirSync(folder, { recursive: true, encoding: "utf8" })
      .filter((file) => file.endsWith(".ts") && !file.endsWith("_test.ts"))
      .map((file) => `${folder}/${file}`)
  );
}

function readVerbs(): Set<string> {
  const page = readFileSync("docs/GLOSSARY.md", "utf8");
  const section = page.slice(page.indexOf("## Function verbs"));
  const spans = [...section.matchAll(/`([a-z ]+)`/g)];
  return new Set(spans.flatMap(([, words]) => words.split(" ")));
}

function visitNodes(file: string, visit: (node: ts.Node) => void): void {
  const text = readFileSync(file, "utf8");
  const source = ts.createSourceFile(file, text, ts.ScriptTarget.ES2022, true);
  const step = (node: ts.Node) => {
    visit(node);
    ts.forEachChild(node, step);
  };
  step(source);
}

test("function names begin with a verb of the glossary", (t) => {
  const verbs = readVerbs();
  const faults: string[] = [];
  for (const file of listSources()) {
    visitNodes(file, (node) => {
      if (!ts.isFunctionDeclaration(node) && !ts.isMethodDeclaration(node)) {
        return;
      }
      const name = node.name?.getText().replace(/^#/, "") ?? "";
      const verb = VERB.exec(name)?.[0] ?? "";
      if (name !== "now" && !verbs.has(verb)) faults.push(`${file}: ${name}`);
    });
  }
  t.deepEqual(faults, []);
});

const PLATFORM_NAMES =
  /kv-(key|range|watch|txn|lease|keep)|run-start|run-stop|baobabhead\/hold|op\/config|task_spec|api_keys|last_seen|until_ms|mem_mb|no_auth/;

test("names of the platform stay in platform/", (t) => {
  const faults = listSources(["packages"]).filter((file) =>
    PLATFORM_NAMES.test(readFileSync(file, "utf8"))
  );
  t.deepEqual(faults, []);
});

test("every export has a doc comment", (t) => {
  const faults: string[] = [];
  for (const file of listSources()) {
    if (file.endsWith("mod.ts")) continue;
    visitNodes(file, (node) => {
      if (!ts.canHaveModifiers(node)) return;
      const isExported = ts.getModifiers(node)?.some((modifier) =>
        modifier.kind === ts.SyntaxKind.ExportKeyword
      );
      if (!isExported || ts.getJSDocCommentsAndTags(node).length > 0) return;
      faults.push(`${file}: ${node.getText().split("\n")[0]}`);
    });
  }
  t.deepEqual(faults, []);
});

const PRIMITIVES = new Set([
  ts.SyntaxKind.StringKeyword,
  ts.SyntaxKind.NumberKeyword,
  ts.SyntaxKind.BooleanKeyword,
]);

test("functions take at most two arguments and then options", (t) => {
  const faults: string[] = [];
  for (const file of listSources()) {
    visitNodes(file, (node) => {
      if (!ts.isFunctionDeclaration(node) && !ts.isMethodDeclaration(node)) {
        return;
      }
      const [, , third] = node.parameters;
      const isPrimitive = third?.type && PRIMITIVES.has(third.type.kind);
      if (node.parameters.length <= 3 && !isPrimitive) return;
      faults.push(`${file}: ${node.name?.getText()}`);
    });
  }
  t.deepEqual(faults, []);
});
