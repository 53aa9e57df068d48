import {
  type Endpoint,
  ListingExtent,
  type ListingProof,
  type Run,
} from "./types.ts";

/**
 * Returns whether a listing proves that an endpoint has neither the run nor its end: the
 * listing was asked for after the last order about the run (`Run.lastChangedAt`), and all
 * ends that are not acknowledged are in it. An end that was cut off may be of this run.
 */
export function hasNoTrace(proof: ListingProof, run: Run): boolean {
  return proof.extent === ListingExtent.Whole &&
    proof.askedAt > run.lastChangedAt;
}

/**
 * Returns whether an endpoint may have ends that this owner has not seen: its newest
 * listing was cut off. The runs of a listing are never cut off.
 */
export function hasHiddenEnds({ proof }: Endpoint): boolean {
  return proof?.extent === ListingExtent.CutOff;
}

/**
 * Returns whether the start of a run can't have reached a later lifetime of its endpoint
 * than the listed one: the endpoint was asked for its newest listing when the start had
 * been carried out or could not be any more.
 */
export function isOfListedLifetime({ endpoint, startSettledAt }: Run): boolean {
  const { proof, bornAt } = endpoint;
  return proof?.bornAt === bornAt && proof.askedAt > startSettledAt;
}
