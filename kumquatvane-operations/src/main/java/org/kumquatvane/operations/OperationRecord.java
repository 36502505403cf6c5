package org.kumquatvane.operations;

import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * Record of one operation, as transferred between holders. Records of the same operation can be
 * merged in any order: an ended attempt is no longer open, and a known result takes precedence over
 * an unknown one.
 *
 * @param operation the operation
 * @param open attempts that were granted and have not ended
 * @param ended attempts that have ended
 * @param result the result, or null while no attempt has run
 */
public record OperationRecord(
    Operation operation,
    Set<AttemptId> open,
    Set<AttemptId> ended,
    @Nullable OperationResult result) {
  /** Copies the sets. */
  public OperationRecord {
    open = Set.copyOf(open);
    ended = Set.copyOf(ended);
  }
}
