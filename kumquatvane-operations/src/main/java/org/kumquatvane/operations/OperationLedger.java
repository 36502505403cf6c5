package org.kumquatvane.operations;

import java.util.function.Consumer;
import org.kumquatvane.core.Deadline;

/** Prevents operations from running twice, even if the caller repeats them at another VM. */
public interface OperationLedger {
  /**
   * Requests permission to run an operation.
   *
   * @param operation the operation
   * @param deadline time at which the caller stops waiting
   * @param verdict receives exactly one verdict, on this thread or later on the worker pool
   */
  void begin(Operation operation, Deadline deadline, Consumer<BeginVerdict> verdict);

  /**
   * Records the result of an operation whose verdict was {@link BeginVerdict.Proceed}.
   *
   * @param operation the operation
   * @param result its result
   */
  void finish(Operation operation, OperationResult result);
}
