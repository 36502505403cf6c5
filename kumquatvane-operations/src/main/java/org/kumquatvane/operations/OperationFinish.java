package org.kumquatvane.operations;

import org.kumquatvane.core.PeerMessage;

/**
 * Reports the result of an attempt to a holder; sent again until it is acknowledged.
 *
 * @param operation the operation
 * @param attempt the attempt that ended
 * @param result its result
 */
public record OperationFinish(Operation operation, AttemptId attempt, OperationResult result)
    implements PeerMessage {}
