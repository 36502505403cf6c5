package org.kumquatvane.http;

import java.util.Locale;
import org.kumquatvane.core.Counters;
import org.kumquatvane.core.EventLog;
import org.kumquatvane.core.LogField;

/** Logs and counts bytes of backend servers that belong to no response. */
public final class ExtraBytesLog implements ExtraBytesListener {
  private final EventLog eventLog;
  private final Counters counters;

  /**
   * Creates the log.
   *
   * @param eventLog receives an event for each read with extra bytes
   * @param counters counts these reads by position
   */
  public ExtraBytesLog(EventLog eventLog, Counters counters) {
    this.eventLog = eventLog;
    this.counters = counters;
  }

  @Override
  public void onExtraBytes(ExtraBytes extraBytes) {
    String position = extraBytes.position().name().toLowerCase(Locale.ROOT);
    counters.add("answers.extra_bytes_" + position, 1);
    eventLog.record(
        EventLog.Level.INFO,
        "extra_bytes_received",
        LogField.of("server", extraBytes.server()),
        LogField.of("connection", extraBytes.connection()),
        LogField.of("connection_requests", extraBytes.requestsOnConnection()),
        LogField.of("position", position),
        LogField.of("bytes", extraBytes.bytes()));
  }
}
