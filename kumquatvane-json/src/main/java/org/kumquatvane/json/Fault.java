package org.kumquatvane.json;

/**
 * One thing that is wrong with an input.
 *
 * @param location where
 * @param problem what is wrong
 * @param remedy what to do about it
 */
public record Fault(SourceLocation location, String problem, String remedy) {
  @Override
  public String toString() {
    return location + ": " + problem + "; " + remedy;
  }
}
