package org.kumquatvane.operations;

import org.kumquatvane.core.PeerMessage;

/**
 * Asks a holder whether an operation may run.
 *
 * @param operation the operation
 * @param attempt the try; a repeated message for the same try gets the same answer
 * @param viewDigest agreed view under which the sender takes the receiver for a holder
 */
public record OperationBegin(Operation operation, AttemptId attempt, long viewDigest)
    implements PeerMessage {}
