import { SiteRecords, type WaveReport } from "../../packages/scheduler/mod.ts";

/** Records of a site whose operators ask for no upkeep. */
export abstract class NoWaveRecords extends SiteRecords {
  override readonly wavePrefix = "waves/";
  override readonly waveStatusPrefix = "wave_reports/";

  override decodeWave(): undefined {
    return undefined;
  }

  override encodeWaveStatus(report: WaveReport) {
    return { key: this.waveStatusPrefix + report.number, value: "" };
  }

  override decodeWaveStatus(): undefined {
    return undefined;
  }
}
