package org.kumquatvane.telemetry;

import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.List;
import java.util.logging.Formatter;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import org.kumquatvane.core.LogField;

/**
 * Writes all logs of the process, including those of libraries, to standard output in one format.
 */
public final class LogSetup {
  private static final String EVENT_PREFIX = "event=";

  /**
   * Strong references, since java.util.logging references loggers weakly and loses their levels.
   */
  private static final List<Logger> LIBRARY_LOGGERS =
      List.of(Logger.getLogger("io.servicetalk"), Logger.getLogger("io.netty"));

  private LogSetup() {}

  /**
   * Installs the handler; call once, at the start of the process.
   *
   * @param vm name of the VM, written to each line
   */
  public static void install(String vm) {
    Logger root = Logger.getLogger("");
    for (Handler handler : root.getHandlers()) {
      root.removeHandler(handler);
    }
    BoundedLineHandler handler = new BoundedLineHandler(new FileOutputStream(FileDescriptor.out));
    handler.setLevel(Level.INFO);
    handler.setFormatter(new LineFormatter(vm));
    root.addHandler(handler);
    // Libraries log each broken connection as a warning, which is routine for a proxy.
    LIBRARY_LOGGERS.forEach(logger -> logger.setLevel(Level.SEVERE));
  }

  private static final class LineFormatter extends Formatter {
    private final String vm;

    private LineFormatter(String vm) {
      this.vm = vm;
    }

    @Override
    public String format(LogRecord record) {
      String message = formatMessage(record);
      String body =
          message.startsWith(EVENT_PREFIX)
              ? message
              : KeyValueLine.format(
                  "library_log",
                  LogField.of("logger", record.getLoggerName()),
                  LogField.of("message", message),
                  LogField.of("error", record.getThrown()));
      String level = record.getLevel().equals(Level.FINE) ? "debug" : lowerCase(record.getLevel());
      return "time="
          + Instant.ofEpochMilli(record.getMillis()).truncatedTo(ChronoUnit.MILLIS)
          + " level="
          + level
          + " vm="
          + KeyValueLine.escape(vm)
          + " "
          + body
          + System.lineSeparator();
    }

    private static String lowerCase(Level level) {
      return level.getName().toLowerCase(java.util.Locale.ROOT);
    }
  }
}
