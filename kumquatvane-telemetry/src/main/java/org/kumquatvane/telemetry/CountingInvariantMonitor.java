package org.kumquatvane.telemetry;

import java.util.Locale;
import org.kumquatvane.core.Counters;
import org.kumquatvane.core.EventLog;
import org.kumquatvane.core.Invariant;
import org.kumquatvane.core.InvariantMonitor;
import org.kumquatvane.core.LogField;

/** Counts and logs each violated invariant without stopping the process. */
public final class CountingInvariantMonitor implements InvariantMonitor {
  private final Counters counters;
  private final EventLog eventLog;

  /**
   * Creates a monitor.
   *
   * @param counters counts violations
   * @param eventLog logs violations
   */
  public CountingInvariantMonitor(Counters counters, EventLog eventLog) {
    this.counters = counters;
    this.eventLog = eventLog;
  }

  @Override
  public void violated(Invariant invariant, String detail) {
    counters.add(counterName(invariant), 1);
    eventLog.record(
        EventLog.Level.WARNING,
        "invariant_violated",
        LogField.of("invariant", invariant.name().toLowerCase(Locale.ROOT)),
        LogField.of("detail", detail));
  }

  static String counterName(Invariant invariant) {
    return "invariants.violated." + invariant.name().toLowerCase(Locale.ROOT);
  }
}
