package org.kumquatvane.operations;

import org.kumquatvane.core.PeerMessage;

/**
 * Answer of a holder to an {@link OperationBegin}.
 *
 * @param attempt the try
 * @param viewDigest agreed view under which the holder answers
 * @param reply what it knows
 */
public record OperationVerdict(AttemptId attempt, long viewDigest, HolderReply reply)
    implements PeerMessage {}
