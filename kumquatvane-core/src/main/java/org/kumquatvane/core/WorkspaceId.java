package org.kumquatvane.core;

import java.util.Objects;

/**
 * Name of a workspace, the unit that owns keys, a rate and a burst.
 *
 * @param value the name in the document
 */
public record WorkspaceId(String value) implements Comparable<WorkspaceId> {
  /** Rejects a missing name. */
  public WorkspaceId {
    Objects.requireNonNull(value);
  }

  @Override
  public int compareTo(WorkspaceId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
