package org.kumquatvane.core;

import java.util.Objects;

/**
 * Name of a failure domain, a group of VMs and instances that can fail together.
 *
 * @param value the name in the VM list and the settings
 */
public record FailureDomain(String value) implements Comparable<FailureDomain> {
  /** Rejects a missing name. */
  public FailureDomain {
    Objects.requireNonNull(value);
  }

  @Override
  public int compareTo(FailureDomain other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
