package org.kumquatvane.core;

import java.util.Objects;

/**
 * Name of one VM incarnation, as the platform's VM list gives it.
 *
 * @param value the name; a replaced VM comes back under a new name
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
