/** Largest size of a key in UTF-8, in bytes; the smallest limit of a store. */
export const MAX_KEY_BYTES = 200;
