package org.kumquatvane.operations;

import org.kumquatvane.core.PeerMessage;

/**
 * Acknowledges an {@link OperationFinish}.
 *
 * @param attempt the attempt
 */
public record FinishRecorded(AttemptId attempt) implements PeerMessage {}
