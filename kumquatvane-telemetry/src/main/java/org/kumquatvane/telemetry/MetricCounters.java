package org.kumquatvane.telemetry;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.kumquatvane.core.Counters;
import org.kumquatvane.core.Invariant;
import org.kumquatvane.core.Reason;

/**
 * Counters in a Dropwizard registry; the counters of all reasons and invariants are registered on
 * creation.
 */
public final class MetricCounters implements Counters {
  private final MetricRegistry registry;
  private final Map<Reason, Counter> reasons = new EnumMap<>(Reason.class);

  /**
   * Registers the counters of all reasons and invariants, so that a scrape reports zero before the
   * first increment.
   *
   * @param registry receives the counters
   */
  public MetricCounters(MetricRegistry registry) {
    this.registry = registry;
    for (Reason reason : Reason.values()) {
      reasons.put(reason, registry.counter(reason.counterName()));
    }
    for (Invariant invariant : Invariant.values()) {
      registry.counter(CountingInvariantMonitor.counterName(invariant));
    }
  }

  @Override
  public void count(Reason reason) {
    Counter counter = reasons.get(reason);
    if (counter != null) {
      counter.inc();
    }
  }

  @Override
  public void add(String name, long amount) {
    registry.counter(name).inc(amount);
  }

  @Override
  public void recordDuration(String name, long nanos) {
    registry.timer(name).update(nanos, TimeUnit.NANOSECONDS);
  }
}
