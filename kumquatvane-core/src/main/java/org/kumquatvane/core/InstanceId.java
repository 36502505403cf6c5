package org.kumquatvane.core;

import java.util.Objects;

/**
 * Name of one instance of a service.
 *
 * @param value the name in the document or the VM list, unique within its service
 */
public record InstanceId(String value) implements Comparable<InstanceId> {
  /** Rejects a missing name. */
  public InstanceId {
    Objects.requireNonNull(value);
  }

  @Override
  public int compareTo(InstanceId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
