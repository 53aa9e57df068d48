/** Prefix of all keys of the system in the platform's store. */
export const KEY_ROOT = "/baobabhead/";

/** Prefix of the configuration's records. */
export const CONFIG_PREFIX = `${KEY_ROOT}config/`;

/** Key of the record that defines the order of configuration versions. */
export const CONFIG_HEAD_KEY = `${CONFIG_PREFIX}head`;

/** Prefix of the configuration's pages. */
export const CONFIG_PAGE_PREFIX = `${CONFIG_PREFIX}pages/`;

/** Prefix of the failure domains' records. */
export const DOMAIN_PREFIX = `${KEY_ROOT}domains/`;

/** Prefix of the fleet buckets, which hold the grants of failure domains. */
export const FLEET_LIMIT_PREFIX = `${KEY_ROOT}limits/fleet/`;

/**
 * Prefix of the domain buckets, which hold the grants of entries. The name of
 * the failure domain follows.
 */
export const DOMAIN_LIMIT_PREFIX = `${KEY_ROOT}limits/domains/`;

/**
 * Age of a failure domain's record, in milliseconds, from which every reachable
 * entry is assumed to have read the record.
 */
export const DOMAIN_SETTLE_MS = 60_000;
