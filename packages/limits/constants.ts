/**
 * Number of buckets that the teams are divided into. A bucket has one record
 * for the fleet and one for each failure domain.
 */
export const LIMIT_BUCKETS = 8;
