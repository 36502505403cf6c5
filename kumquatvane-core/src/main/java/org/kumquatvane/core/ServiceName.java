package org.kumquatvane.core;

import java.util.Objects;

/**
 * Name of a service, a set of interchangeable instances.
 *
 * @param value the name in the document
 */
public record ServiceName(String value) implements Comparable<ServiceName> {
  /** Rejects a missing name. */
  public ServiceName {
    Objects.requireNonNull(value);
  }

  @Override
  public int compareTo(ServiceName other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
