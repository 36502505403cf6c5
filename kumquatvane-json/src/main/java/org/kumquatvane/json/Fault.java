package org.kumquatvane.json;

/**
 * A fault in an input.
 *
 * @param location location of the fault
 * @param problem what is wrong
 * @param remedy how to correct it
 */
public record Fault(SourceLocation location, String problem, String remedy) {
  @Override
  public String toString() {
    return location + ": " + problem + "; " + remedy;
  }
}
