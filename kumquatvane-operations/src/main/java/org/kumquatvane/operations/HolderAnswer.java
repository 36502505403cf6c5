package org.kumquatvane.operations;

/** What a holder knows of an operation. */
public sealed interface HolderAnswer {
  /** No earlier run exists; the attempt is recorded as in progress. */
  record Fresh() implements HolderAnswer {}

  /** Another attempt is in progress. */
  record InProgress() implements HolderAnswer {}

  /**
   * An earlier attempt has ended.
   *
   * @param result how it ended
   */
  record Ended(OperationResult result) implements HolderAnswer {}

  /** The key was used with another request. */
  record Conflict() implements HolderAnswer {}

  /** The key is older than what this holder would know. */
  record Unknown() implements HolderAnswer {}
}
