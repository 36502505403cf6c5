package org.kumquatvane.operations;

import java.util.function.Consumer;
import org.kumquatvane.core.Deadline;

/** Keeps operations from running twice, also when a caller repeats them at another VM. */
public interface OperationLedger {
  /**
   * Asks whether an operation may run now.
   *
   * @param operation the operation
   * @param deadline when the caller stops waiting
   * @param verdict receives exactly one verdict, on this thread or later on the worker pool
   */
  void begin(Operation operation, Deadline deadline, Consumer<BeginVerdict> verdict);

  /**
   * Records how an operation that got {@link BeginVerdict.Proceed} ended.
   *
   * @param operation the operation
   * @param result how it ended
   */
  void finish(Operation operation, OperationResult result);
}
