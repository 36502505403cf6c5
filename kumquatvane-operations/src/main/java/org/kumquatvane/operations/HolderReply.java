package org.kumquatvane.operations;

/** Reply of a holder to an {@link OperationBegin}. */
public sealed interface HolderReply {
  /** No earlier run exists; the attempt has been recorded as in progress. */
  record Granted() implements HolderReply {}

  /** Another attempt is in progress. */
  record InProgress() implements HolderReply {}

  /**
   * An earlier attempt has ended.
   *
   * @param result its result
   */
  record Ended(OperationResult result) implements HolderReply {}

  /** The key was used with a different request. */
  record Conflict() implements HolderReply {}

  /** The key is older than the horizon of this holder, so an earlier run may exist. */
  record Unknown() implements HolderReply {}
}
