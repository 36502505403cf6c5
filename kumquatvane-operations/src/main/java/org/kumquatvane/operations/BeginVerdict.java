package org.kumquatvane.operations;

/** Decision whether an operation may be sent to a backend server. */
public sealed interface BeginVerdict {
  /** No earlier run exists and this one is recorded as in progress; it must be finished. */
  record Proceed() implements BeginVerdict {}

  /**
   * The operation has run.
   *
   * @param response the response of that run
   */
  record Replay(RecordedResponse response) implements BeginVerdict {}

  /** The operation has run, and its response was too long to be recorded. */
  record AnswerNotKept() implements BeginVerdict {}

  /** The key was used with a different request. */
  record KeyReused() implements BeginVerdict {}

  /** The key is not a UUIDv7, or its timestamp is too far in the future. */
  record KeyMalformed() implements BeginVerdict {}

  /** An earlier run may exist or be in progress; its outcome cannot be determined in time. */
  record Unknown() implements BeginVerdict {}
}
