import { Buffer } from "node:buffer";
import test from "ava";
import fc from "fast-check";
import { splitText } from "./mod.ts";

// Guards against text that is damaged, lost or too large where it is cut.
test("parts of a text are well formed, within the limit, and the text when joined", (t) => {
  fc.assert(fc.property(
    fc.string({ unit: "binary", maxLength: 60 }),
    fc.integer({ min: 4, max: 40 }),
    (text, maxBytes) => {
      const parts = splitText(text, maxBytes);
      t.is(parts.join(""), text);
      for (const part of parts) {
        t.is(Buffer.from(part).toString(), part);
        t.true(Buffer.byteLength(part) <= maxBytes);
      }
      t.true(parts.slice(1).every((part) => part !== ""));
    },
  ));
});

test("a text is not split into parts that are smaller than a code point", (t) => {
  t.throws(() => splitText("𠮷", 3));
});
