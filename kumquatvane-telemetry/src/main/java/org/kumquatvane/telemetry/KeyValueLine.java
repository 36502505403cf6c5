package org.kumquatvane.telemetry;

import java.util.regex.Pattern;
import org.kumquatvane.core.LogField;

/** Text form of an event: key=value pairs separated by spaces, values quoted where needed. */
public final class KeyValueLine {
  /** Matches callers' keys; a safeguard against keys that callers put in logged fields. */
  private static final Pattern KEY = Pattern.compile("kv1_[A-Za-z0-9_-]{8,}");

  private static final int MAXIMUM_VALUE_LENGTH = 500;
  private static final char FIRST_PRINTABLE = ' ';

  private KeyValueLine() {}

  /**
   * Formats an event.
   *
   * @param event name of the event
   * @param fields its fields in order
   * @return one line without a line break
   */
  public static String format(String event, LogField... fields) {
    StringBuilder line = new StringBuilder("event=").append(escape(event));
    for (LogField field : fields) {
      line.append(' ').append(field.name()).append('=').append(escape(field.value()));
    }
    return line.toString();
  }

  /**
   * Escapes a value: quotes it if it is empty or contains spaces, quotes, equal signs or control
   * characters, and redacts keys.
   *
   * @param value any text
   * @return text without spaces outside quotes and without control characters
   */
  public static String escape(String value) {
    String safe = KEY.matcher(value).replaceAll("[key]");
    String cut =
        safe.length() > MAXIMUM_VALUE_LENGTH
            ? safe.substring(0, MAXIMUM_VALUE_LENGTH) + "..."
            : safe;
    if (!cut.isEmpty() && cut.chars().noneMatch(KeyValueLine::needsQuotes)) {
      return cut;
    }
    StringBuilder quoted = new StringBuilder("\"");
    cut.chars().forEach(character -> appendEscaped(quoted, (char) character));
    return quoted.append('"').toString();
  }

  private static boolean needsQuotes(int character) {
    return character <= FIRST_PRINTABLE
        || character == '"'
        || character == '='
        || character == '\\'
        || Character.isISOControl(character)
        || character == '\u2028'
        || character == '\u2029';
  }

  private static void appendEscaped(StringBuilder quoted, char character) {
    if (character == '"' || character == '\\') {
      quoted.append('\\').append(character);
    } else if (Character.isISOControl(character)
        || character == '\u2028'
        || character == '\u2029') {
      quoted.append(String.format("\\u%04x", (int) character));
    } else {
      quoted.append(character);
    }
  }
}
