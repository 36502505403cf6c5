package org.kumquatvane.core;

import java.util.Objects;

/**
 * Identifies one logical request in logs and towards backend servers.
 *
 * @param value printable text without spaces
 */
public record RequestId(String value) {
  /** Rejects a missing value. */
  public RequestId {
    Objects.requireNonNull(value);
  }

  @Override
  public String toString() {
    return value;
  }
}
