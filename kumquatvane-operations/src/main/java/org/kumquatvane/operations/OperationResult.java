package org.kumquatvane.operations;

/** How an operation ended. */
public sealed interface OperationResult {
  /**
   * It ran and its answer is whole.
   *
   * @param response the answer
   */
  record Finished(RecordedResponse response) implements OperationResult {}

  /** It ran, and its answer is too long to be kept. */
  record FinishedWithoutResponse() implements OperationResult {}

  /** It certainly did not run; a repeat may run it. */
  record NotRun() implements OperationResult {}

  /** It may have run; a repeat must not run it. */
  record Unknown() implements OperationResult {}
}
