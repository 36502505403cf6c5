package org.kumquatvane.operations;

/** Whether an operation may be sent to a backend server. */
public sealed interface BeginVerdict {
  /** No earlier run exists and this one is recorded as in progress; it must be finished. */
  record Proceed() implements BeginVerdict {}

  /**
   * The operation has run.
   *
   * @param response the answer of that run
   */
  record Replay(RecordedResponse response) implements BeginVerdict {}

  /** The operation has run, and its answer was too long to be kept. */
  record AnswerNotKept() implements BeginVerdict {}

  /** The key was used with another request. */
  record KeyReused() implements BeginVerdict {}

  /** The key is not a UUIDv7, or its time lies too far ahead of the clock. */
  record KeyMalformed() implements BeginVerdict {}

  /** An earlier run may exist or may be in progress; its outcome cannot be known in time. */
  record Unknown() implements BeginVerdict {}
}
