import test from "ava";
import { EndKind } from "../../packages/jobs/mod.ts";
import { makeJob, makeStep } from "../cell/cell_site.ts";
import type { FakeEndpoint } from "../cell/fake_endpoint.ts";
import { OwnerSite } from "./owner_site.ts";

/** Time after its last run by which a task that lasts has to run again, in ms: 6 s + 3 s. */
const RESTART_MS = 9_000;
/** Time between the moments of the loss, and from the first to the last one, in ms. */
const LOSS_STEP_MS = 90;
const LOSS_SPAN_MS = 2_200;
const SHORT_INTERVAL_MS = 100;
const LASTING_TASK = "desk.0.0.0";
/** Time by which no order can be carried out any more, and no lease is left, in ms. */
const ALL_SETTLED_MS = 40_000;

/** Site of which one endpoint answers nothing from some moment on. */
class LossSite extends OwnerSite {
  lost: FakeEndpoint | undefined;
  /** The lost endpoint lives on, and carries out every order late. */
  isLateOnly = false;
  /** Starts of `LASTING_TASK`, on the site's clock. */
  readonly lastingStarts: number[] = [];

  override drawDelivery(endpoint: FakeEndpoint): "answered" | "lost" | "late" {
    if (endpoint !== this.lost) return "answered";
    return this.isLateOnly ? "late" : "lost";
  }

  override recordStart(
    ...[endpoint, run, options]: Parameters<OwnerSite["recordStart"]>
  ): void {
    super.recordStart(endpoint, run, options);
    if (run.task === LASTING_TASK) this.lastingStarts.push(this.time.now);
  }
}

/**
 * Runs tasks that last on endpoints on which short ones start all the time, and loses the
 * endpoint of one of them `lossMs` later.
 */
async function loseEndpoint(
  { lossMs, isLateOnly }: { lossMs: number; isLateOnly: boolean },
): Promise<{ site: LossSite; lostAt: number }> {
  const site = new LossSite(1, { entries: 1, endpoints: 3 });
  site.isLateOnly = isLateOnly;
  site.hasLateGrants = true;
  site.drawEndKind = () => EndKind.Done;
  site.drawRunTime = () => 1_000_000;
  const [entry] = site.entries;
  await site.time.advance(1_000);
  const lasting = makeStep({ tasks: 2, longRunning: true, maxAway: 1 });
  entry.submit(makeJob("desk", [lasting]), () => {});
  await site.time.advance(500);
  site.drawRunTime = () => 300;
  let count = 0;
  const submitShort = () => {
    entry.submit(makeJob(`j${count++}`, [makeStep({ tasks: 3 })]), () => {});
    site.time.schedule("world", SHORT_INTERVAL_MS, submitShort);
  };
  submitShort();
  await site.time.advance(3_000 + lossMs);
  site.lost = [...site.endpoints.values()].find(({ runs }) =>
    runs.has(LASTING_TASK)
  );
  const lostAt = site.time.now;
  await site.time.advance(ALL_SETTLED_MS);
  return { site, lostAt };
}

// Guards against a task that waits for leases which a lost endpoint can't hold: of the
// orders on their way each one added a whole lease, on time and late, and a margin.
test("a task of an endpoint that is lost runs elsewhere within 9 s, at any moment of the loss", async (t) => {
  const awayMs: number[] = [];
  for (let lossMs = 0; lossMs < LOSS_SPAN_MS; lossMs += LOSS_STEP_MS) {
    const { site, lostAt } = await loseEndpoint({ lossMs, isLateOnly: false });
    t.deepEqual(site.checker.violations, [], `lost after ${lossMs} ms`);
    const restartedAt = site.lastingStarts.find((at) => at > lostAt) ??
      Infinity;
    awayMs.push(Math.round(restartedAt - lostAt));
  }
  t.log(awayMs.join(" "));
  t.true(Math.max(...awayMs) <= RESTART_MS, awayMs.join());
});

// Guards against a second run of a task whose endpoint lives on behind a cut and carries
// out all orders late, with leases that count from their arrival.
test("no task of an endpoint that carries out all orders late runs twice, at any moment of the loss", async (t) => {
  for (let lossMs = 0; lossMs < LOSS_SPAN_MS; lossMs += LOSS_STEP_MS) {
    const { site } = await loseEndpoint({ lossMs, isLateOnly: true });
    t.deepEqual(site.checker.violations, [], `lost after ${lossMs} ms`);
    t.true(site.lastingStarts.length > 1);
  }
});
