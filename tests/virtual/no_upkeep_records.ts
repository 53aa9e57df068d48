import { SiteRecords, type WaveReport } from "../../packages/scheduler/mod.ts";
import type { WaveRequest } from "../../packages/upkeep/mod.ts";

/** Base class of site records without upkeep waves. */
export abstract class NoUpkeepRecords extends SiteRecords {
  override readonly wavePrefix = "waves/";
  override readonly waveStatusPrefix = "wave_reports/";
  override readonly evacuationPrefix = "evacuations/";

  override decodeWave(): WaveRequest | undefined {
    return undefined;
  }

  override encodeWaveStatus(report: WaveReport) {
    return { key: this.waveStatusPrefix + report.number, value: "" };
  }

  override decodeWaveStatus(): undefined {
    return undefined;
  }
}
