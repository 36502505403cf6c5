package org.kumquatvane.json;

/**
 * One thing that is wrong with an input.
 *
 * @param place where
 * @param problem what is wrong
 * @param remedy what to do about it
 */
public record Fault(Place place, String problem, String remedy) {
  @Override
  public String toString() {
    return place + ": " + problem + "; " + remedy;
  }
}
