import { EVENT_CATALOGUE, EventCode } from "./catalogue.ts";

/** Describes an event for an operator; returns undefined if it is unknown. */
export function explainEvent(code: number): string | undefined {
  const catalogueEntry = EVENT_CATALOGUE[code as EventCode];
  if (!catalogueEntry) return undefined;
  return [
    `${code} ${EventCode[code]} (${catalogueEntry.severity})`,
    `  ${catalogueEntry.message}`,
    `  What to do: ${catalogueEntry.remedy}`,
  ].join("\n");
}

/** Renders the catalogue as the Markdown table of docs/EVENTS.md. */
export function renderCatalogue(): string {
  const rows = Object.entries(EVENT_CATALOGUE).map(([code, entry]) =>
    `| ${code} | ${
      EventCode[Number(code)]
    } | ${entry.severity} | ${entry.message} | ${entry.remedy} |`
  );
  return [
    "| code | name | severity | message | what to do |",
    "| --- | --- | --- | --- | --- |",
    ...rows,
  ].join("\n");
}
