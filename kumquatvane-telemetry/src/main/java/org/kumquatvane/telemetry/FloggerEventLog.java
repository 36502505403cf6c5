package org.kumquatvane.telemetry;

import com.google.common.flogger.FluentLogger;
import com.google.common.flogger.LazyArgs;
import com.google.common.flogger.LogSite;
import org.kumquatvane.core.EventLog;
import org.kumquatvane.core.LogField;

/** Event log that writes one line of key=value pairs for each event through Flogger. */
public final class FloggerEventLog implements EventLog {
  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

  @Override
  public void record(EventLog.Level level, String event, LogField... fields) {
    // The site of the call is not written, and finding it would walk the stack for each line.
    LOGGER
        .at(javaLevel(level))
        .withInjectedLogSite(LogSite.INVALID)
        .log("%s", LazyArgs.lazy(() -> KeyValueLine.format(event, fields)));
  }

  private static java.util.logging.Level javaLevel(EventLog.Level level) {
    return switch (level) {
      case DEBUG -> java.util.logging.Level.FINE;
      case INFO -> java.util.logging.Level.INFO;
      case WARNING -> java.util.logging.Level.WARNING;
    };
  }
}
