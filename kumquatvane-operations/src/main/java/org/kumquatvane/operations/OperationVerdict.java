package org.kumquatvane.operations;

import org.kumquatvane.core.PeerMessage;

/**
 * Reply of a holder to an {@link OperationBegin}.
 *
 * @param attempt the attempt
 * @param viewDigest agreed view under which the holder replies
 * @param reply the reply
 */
public record OperationVerdict(AttemptId attempt, long viewDigest, HolderReply reply)
    implements PeerMessage {}
