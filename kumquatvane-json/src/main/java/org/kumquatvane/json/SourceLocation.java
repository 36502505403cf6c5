package org.kumquatvane.json;

/**
 * Location of a value in the input.
 *
 * @param source name of the file or platform value
 * @param line line from 1
 * @param column column from 1, in UTF-16 code units
 * @param path path of the value
 */
public record SourceLocation(String source, int line, int column, JsonPath path) {
  @Override
  public String toString() {
    return source + ":" + line + ":" + column + ": " + path;
  }
}
