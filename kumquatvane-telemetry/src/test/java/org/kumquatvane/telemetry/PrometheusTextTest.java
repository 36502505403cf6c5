package org.kumquatvane.telemetry;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import org.approvaltests.Approvals;
import org.junit.jupiter.api.Test;
import org.kumquatvane.core.Reason;

class PrometheusTextTest {
  /**
   * Guards against renamed metrics, and against counters that are missing until their first
   * increment.
   */
  @Test
  void writesCountersBeforeFirstIncrement() {
    MetricRegistry registry = new MetricRegistry();
    MetricCounters counters = new MetricCounters(registry);
    counters.count(Reason.RATE_LIMITED);
    counters.add("peer.sent.bytes.heartbeat", 120);
    registry.register("requests.in_flight", (Gauge<Integer>) () -> 3);

    Approvals.verify(PrometheusText.write(registry));
  }
}
