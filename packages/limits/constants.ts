/** Number of buckets, one record each, that hold the grants at each level. */
export const LIMIT_BUCKETS = 8;
