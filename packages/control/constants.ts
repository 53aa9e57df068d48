/** Prefix of every key that the system keeps in the platform's store. */
export const KEY_ROOT = "/baobabhead/";

/** Prefixes of the records by kind. */
export const CONFIG_HEAD_KEY = `${KEY_ROOT}config/head`;
export const CONFIG_PAGE_PREFIX = `${KEY_ROOT}config/pages/`;
export const CONFIG_PREFIX = `${KEY_ROOT}config/`;
export const DOMAIN_PREFIX = `${KEY_ROOT}domains/`;
export const FLEET_LIMIT_PREFIX = `${KEY_ROOT}limits/fleet/`;
export const DOMAIN_LIMIT_PREFIX = `${KEY_ROOT}limits/domains/`;

/** Age at which every reachable entry knows a failure domain, in ms. */
export const DOMAIN_SETTLE_MS = 60_000;
