package org.kumquatvane.operations;

import org.kumquatvane.core.PeerMessage;

/**
 * Asks a holder whether an operation may run.
 *
 * @param operation the operation
 * @param attempt the attempt; a repeated message for the same attempt gets the same reply
 * @param viewDigest agreed view under which the receiver is a holder
 */
public record OperationBegin(Operation operation, AttemptId attempt, long viewDigest)
    implements PeerMessage {}
