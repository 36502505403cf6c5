package org.kumquatvane.core;

import java.util.Objects;

/**
 * Name of one VM incarnation in the platform's VM list.
 *
 * @param value the name; a replacement VM has a new name
 */
public record VmId(String value) implements Comparable<VmId> {
  /** Rejects a missing name. */
  public VmId {
    Objects.requireNonNull(value);
  }

  @Override
  public int compareTo(VmId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
