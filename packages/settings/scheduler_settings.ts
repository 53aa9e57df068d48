import { readFileSync } from "node:fs";
import { z } from "zod";
import {
  AdmissionName,
  ChoiceName,
  DEFAULT_HELD_TASKS,
  DEFAULT_POLICIES,
  EjectionName,
  GangStartsName,
  HeadroomName,
  LeavingName,
  OrderName,
  PreemptionName,
  RunTimesName,
  SharesName,
  StallsName,
} from "../cell/mod.ts";
import { makeIntegerSchema, nameSchema } from "../config/mod.ts";
import { createConnectionSchema } from "./connection_settings.ts";
import { DEFAULT_OWNER_CALLS } from "./constants.ts";
import { addressSchema, parseWithSchema } from "./settings.ts";

const hostSchema = z.string().min(1, "must be an IP address");

const coresSchema = z.coerce.number().positive(
  "must be a number above 0, such as 0.5",
).max(1_024).default(1);

const schedulerSchema = z.strictObject({
  vm: z.strictObject({
    name: nameSchema,
    domain: nameSchema,
    address: hostSchema,
    /** Share of each core that the VM may use, and number of cores. */
    cpu_share: coresSchema,
    cores: coresSchema,
  }),
  listen: z.strictObject({
    callers: addressSchema,
    readiness: addressSchema,
    peers: addressSchema,
    /** Address at which other entries reach `peers`, if it is another one. */
    advertise_peers: addressSchema.optional(),
    operations: addressSchema,
  }),
  callers: createConnectionSchema(),
  store: z.strictObject({ address: addressSchema }),
  policy: z.strictObject({ address: addressSchema.optional() }).prefault({}),
  vms: z.strictObject({
    address: addressSchema.optional(),
    take_over_pause_ms: makeIntegerSchema(0, 600_000).default(3_000),
  }).prefault({}),
  scheduling: z.strictObject({
    order: z.enum(OrderName).default(DEFAULT_POLICIES.order),
    choice: z.enum(ChoiceName).default(DEFAULT_POLICIES.choice),
    admission: z.enum(AdmissionName).default(DEFAULT_POLICIES.admission),
    ejection: z.enum(EjectionName).default(DEFAULT_POLICIES.ejection),
    run_times: z.enum(RunTimesName).default(DEFAULT_POLICIES.run_times),
    uneven_ratio: z.coerce.number().min(1).max(100)
      .default(DEFAULT_POLICIES.uneven_ratio),
    stalls: z.enum(StallsName).default(DEFAULT_POLICIES.stalls),
    gang_starts: z.enum(GangStartsName).default(DEFAULT_POLICIES.gang_starts),
    leaving: z.enum(LeavingName).default(DEFAULT_POLICIES.leaving),
    shares: z.enum(SharesName).default(DEFAULT_POLICIES.shares),
    headroom: z.enum(HeadroomName).default(DEFAULT_POLICIES.headroom),
    preemption: z.enum(PreemptionName).default(DEFAULT_POLICIES.preemption),
  }).prefault({}),
  bounds: z.strictObject({
    task_lease_ms: makeIntegerSchema(1_000, 600_000),
    key_revocation_ms: makeIntegerSchema(1_000, 600_000),
    ended_jobs_ms: makeIntegerSchema(1_000, 86_400_000),
    endpoint_records_ms: makeIntegerSchema(1_000, 600_000).default(3_000),
    /** Absent: the platform offers no evacuation of failure domains. */
    evacuation_ms: makeIntegerSchema(1_000, 600_000).optional(),
  }),
  limits: z.strictObject({
    /** Calls for callers that an owner has in process, from all entries. */
    owner_calls: makeIntegerSchema(1, 1_000_000).default(DEFAULT_OWNER_CALLS),
    /** Tasks that all jobs together may count while an owner holds them. */
    held_tasks: makeIntegerSchema(1, 100_000_000).default(DEFAULT_HELD_TASKS),
  }).prefault({}),
  log: z.strictObject({
    level: z.enum(["debug", "info", "warn", "error"]).default("info"),
  }).prefault({}),
});

/** Settings of an entry that runs stored jobs, by section and key. */
export type SchedulerSettings = z.infer<typeof schedulerSchema>;

/**
 * Reads and validates the settings file of an entry that runs stored jobs.
 *
 * @throws {SettingsError} with every issue in the file
 */
export function readSchedulerSettings(file: string): SchedulerSettings {
  const text = readFileSync(file, "utf8");
  return parseWithSchema(schedulerSchema, file, { text });
}
