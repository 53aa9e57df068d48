import { JSONRPCErrorException } from "json-rpc-2.0";
import { RefusedError } from "../base/mod.ts";
import { BUSY_CODE } from "./constants.ts";

/** The receiver has no room for another call, which had no effect. */
export class LinkBusyError extends RefusedError {}

/** Converts the error of a handler to what the link sends. */
export function encodeError(error: unknown): unknown {
  return error instanceof LinkBusyError
    ? new JSONRPCErrorException(error.message, BUSY_CODE)
    : error;
}

/** Returns whether a received error says that the receiver is busy. */
export function isBusy(error: unknown): boolean {
  return error instanceof JSONRPCErrorException && error.code === BUSY_CODE;
}
