import process from "node:process";

/** Limits of a process that runs a script. */
export interface ProcessLimits {
  /** Size of the old part of the heap, in MB; by default that of the runtime. */
  heapMb?: number;
  /** Number of open descriptors; by default that of this process. */
  descriptors?: number;
}

/** Sets the limit of descriptors, then becomes the program. */
const LIMITING_SHELL = ["/bin/sh", "-c", 'ulimit -n "$0" && exec "$@"'];

/** Lists the words of the command that runs a script under limits. */
export function listCommand(
  script: string[],
  { heapMb, descriptors }: ProcessLimits = {},
): string[] {
  return [
    ...descriptors === undefined
      ? []
      : [...LIMITING_SHELL, String(descriptors)],
    process.execPath,
    ...heapMb === undefined ? [] : [`--max-old-space-size=${heapMb}`],
    ...script,
  ];
}
