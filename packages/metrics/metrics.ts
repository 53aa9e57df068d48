import { build, type Histogram } from "hdr-histogram-js";
import { Counter, Gauge, Registry } from "prom-client";
import {
  EXPOSED_PERCENTILES,
  HISTOGRAM_SIGNIFICANT_DIGITS,
  MAX_DURATION_US,
} from "./constants.ts";
import type { HistogramSummary, Labels } from "./types.ts";

/** Counters, gauges and latency histograms of one process. */
export class Metrics {
  readonly #registry = new Registry();
  readonly #histograms = new Map<string, Histogram>();
  readonly #counters = new Map<string, Counter>();
  readonly #gauges = new Map<string, Gauge>();

  /** Records a duration in a histogram, clamped to between 0 and one hour. */
  observeDuration(name: string, durationMs: number, labels: Labels): void {
    const seriesKey = `${name} ${JSON.stringify(labels)}`;
    let histogram = this.#histograms.get(seriesKey);
    if (!histogram) {
      histogram = build({
        highestTrackableValue: MAX_DURATION_US,
        numberOfSignificantValueDigits: HISTOGRAM_SIGNIFICANT_DIGITS,
        bitBucketSize: 32,
        useWebAssembly: false,
      });
      histogram.autoResize = true;
      this.#histograms.set(seriesKey, histogram);
    }
    const durationUs = Math.round(durationMs * 1_000);
    histogram.recordValue(Math.min(MAX_DURATION_US, Math.max(0, durationUs)));
  }

  /** Increments a counter by one. */
  countEvent(name: string, labels: Labels = {}): void {
    let counter = this.#counters.get(name);
    if (!counter) {
      counter = new Counter({
        name: `baobabhead_${name}_total`,
        help: name.replaceAll("_", " "),
        labelNames: Object.keys(labels),
        registers: [this.#registry],
      });
      this.#counters.set(name, counter);
    }
    counter.inc(labels);
  }

  /** Sets the value of a gauge. */
  setGauge(name: string, value: number, labels: Labels = {}): void {
    let gauge = this.#gauges.get(name);
    if (!gauge) {
      gauge = new Gauge({
        name: `baobabhead_${name}`,
        help: name.replaceAll("_", " "),
        labelNames: Object.keys(labels),
        registers: [this.#registry],
      });
      this.#gauges.set(name, gauge);
    }
    gauge.set(labels, value);
  }

  /** Returns the count and percentiles of each histogram. */
  summarizeHistograms(): HistogramSummary[] {
    return [...this.#histograms].map(([seriesKey, histogram]) => {
      const separator = seriesKey.indexOf(" ");
      return {
        name: seriesKey.slice(0, separator),
        labels: JSON.parse(seriesKey.slice(separator + 1)),
        count: histogram.totalCount,
        percentiles: EXPOSED_PERCENTILES.map((percentile) => ({
          percentile,
          ms: histogram.getValueAtPercentile(percentile) / 1_000,
        })),
      };
    });
  }

  /** Renders all metrics in the Prometheus text format. */
  async renderText(): Promise<string> {
    for (const summary of this.summarizeHistograms()) {
      this.setGauge(`${summary.name}_count`, summary.count, summary.labels);
      for (const { percentile, ms } of summary.percentiles) {
        const quantile = String(percentile / 100);
        const labels = { ...summary.labels, quantile };
        this.setGauge(`${summary.name}_ms`, ms, labels);
      }
    }
    return await this.#registry.metrics();
  }
}
