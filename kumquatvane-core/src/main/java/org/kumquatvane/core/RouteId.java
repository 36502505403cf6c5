package org.kumquatvane.core;

import java.util.Objects;

/**
 * Name of a route of the document.
 *
 * @param value the name in the document
 */
public record RouteId(String value) implements Comparable<RouteId> {
  /** Rejects a missing name. */
  public RouteId {
    Objects.requireNonNull(value);
  }

  @Override
  public int compareTo(RouteId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
