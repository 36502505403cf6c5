package org.kumquatvane.operations;

/** Result of an operation. */
public sealed interface OperationResult {
  /**
   * It ran, and its response was recorded completely.
   *
   * @param response the response
   */
  record Finished(RecordedResponse response) implements OperationResult {}

  /** It ran, and its response was too long to be recorded. */
  record FinishedWithoutResponse() implements OperationResult {}

  /** It did not run; a repeat may run it. */
  record NotRun() implements OperationResult {}

  /** It may have run; a repeat must not run it. */
  record Unknown() implements OperationResult {}
}
