package org.kumquatvane.operations;

import java.time.Duration;

/**
 * Bounds of the records.
 *
 * @param retention how long after a key's time its record is kept
 * @param maximumRecords most records of a VM; beyond it the oldest keys become unknown
 * @param clockSkew largest difference between two wall clocks, callers included
 */
public record OperationSettings(Duration retention, int maximumRecords, Duration clockSkew) {
  /**
   * Returns values for a VM with a heap of a few hundred megabytes.
   *
   * @return the default settings
   */
  public static OperationSettings defaults() {
    return new OperationSettings(Duration.ofHours(1), 100_000, Duration.ofSeconds(2));
  }
}
