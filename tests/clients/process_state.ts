import { readdirSync, readFileSync } from "node:fs";

/** Returns whether a process exists. */
export function isRunning(pid: number): boolean {
  try {
    return !/^State:\s+Z/m.test(readFileSync(`/proc/${pid}/status`, "utf8"));
  } catch {
    return false;
  }
}

/** Returns the largest resident memory that a process has had, in MB. */
export function measureMemoryPeak(pid: number): number {
  const status = readFileSync(`/proc/${pid}/status`, "utf8");
  const [, kilobytes = "0"] = /^VmHWM:\s+(\d+) kB/m.exec(status) ?? [];
  return Number(kilobytes) / 1_024;
}

/** Returns the number of open descriptors of a process. */
export function countDescriptors(pid: number): number {
  return readdirSync(`/proc/${pid}/fd`).length;
}
