import {
  applyRequests,
  EvacuationSource,
} from "../../packages/evacuation/mod.ts";
import { CellSite } from "./cell_site.ts";

/**
 * Makes a cell of which the endpoints `e0`, `e2`, ... are in domain `a` and the others
 * in domain `b`, and waits for contact with them.
 */
export function makeTwoDomains(
  options: ConstructorParameters<typeof CellSite>[0] = {},
): CellSite {
  const site = new CellSite(options);
  site.describeEndpoint = (id) => ({
    labels: [],
    rack: "",
    domain: Number(id.slice(1)) % 2 === 0 ? "a" : "b",
  });
  site.applyEndpointList();
  site.advance(200);
  return site;
}

/** Requests the evacuation of exactly these domains. */
export function evacuate(site: CellSite, ...domains: string[]): void {
  const requests = domains.map((domain) => ({
    domain,
    source: EvacuationSource.Platform,
    revision: 1,
  }));
  applyRequests(site.cell.state.evacuation, { requests, now: site.now });
}

/** Counts the starts so far on the endpoints of domain `a`. */
export function countStartsInA({ checker }: CellSite): number {
  return [...checker.startsOn].reduce(
    (sum, [id, starts]) => Number(id.slice(1)) % 2 === 0 ? sum + starts : sum,
    0,
  );
}
