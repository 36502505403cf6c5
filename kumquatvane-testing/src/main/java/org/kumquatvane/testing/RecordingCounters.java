package org.kumquatvane.testing;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.kumquatvane.core.Counters;
import org.kumquatvane.core.Reason;

/** Counters whose values a test can read. */
public final class RecordingCounters implements Counters {
  private final Map<String, Long> values = new ConcurrentHashMap<>();

  @Override
  public void count(Reason reason) {
    add(reason.counterName(), 1);
  }

  @Override
  public void add(String name, long amount) {
    values.merge(name, amount, Long::sum);
  }

  /**
   * Returns the value of a counter.
   *
   * @param name name of the counter
   * @return its value, 0 if it was never counted
   */
  public long value(String name) {
    return values.getOrDefault(name, 0L);
  }
}
