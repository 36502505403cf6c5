package org.kumquatvane.operations;

/** What a holder knows of an operation. */
public sealed interface HolderReply {
  /** No earlier run exists; the attempt is recorded as in progress. */
  record Granted() implements HolderReply {}

  /** Another attempt is in progress. */
  record InProgress() implements HolderReply {}

  /**
   * An earlier attempt has ended.
   *
   * @param result how it ended
   */
  record Ended(OperationResult result) implements HolderReply {}

  /** The key was used with another request. */
  record Conflict() implements HolderReply {}

  /** The key is older than what this holder would know. */
  record Unknown() implements HolderReply {}
}
