package org.kumquatvane.operations;

import org.kumquatvane.core.PeerMessage;

/**
 * Tells a holder how an attempt ended; sent again until it is acknowledged.
 *
 * @param operation the operation
 * @param attempt the try that ended
 * @param result how it ended
 */
public record OperationFinish(Operation operation, AttemptId attempt, OperationResult result)
    implements PeerMessage {}
