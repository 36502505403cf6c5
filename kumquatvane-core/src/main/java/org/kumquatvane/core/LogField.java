package org.kumquatvane.core;

/**
 * One key=value pair of a log line.
 *
 * @param name lower-case name with underscores
 * @param value value, escaped by the log
 */
public record LogField(String name, String value) {
  /**
   * Creates a field from any value's text.
   *
   * @param name name of the field
   * @param value value whose text is logged
   * @return the field
   */
  public static LogField of(String name, Object value) {
    return new LogField(name, String.valueOf(value));
  }
}
