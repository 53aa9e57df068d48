/** Records that the teams' grants are spread over, at each level. */
export const LIMIT_BUCKETS = 8;
