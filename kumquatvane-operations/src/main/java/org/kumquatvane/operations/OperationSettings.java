package org.kumquatvane.operations;

import java.time.Duration;

/**
 * Limits of the records.
 *
 * @param retention time for which a record is kept after its key's creation
 * @param maximumRecords maximum number of records on a VM; beyond it, the oldest keys become
 *     unknown
 * @param clockSkew maximum difference between two wall clocks, including those of callers
 */
public record OperationSettings(Duration retention, int maximumRecords, Duration clockSkew) {
  /**
   * Returns limits for a VM with a heap of a few hundred megabytes.
   *
   * @return the default settings
   */
  public static OperationSettings defaults() {
    return new OperationSettings(Duration.ofHours(1), 100_000, Duration.ofSeconds(2));
  }
}
