package org.kumquatvane.membership;

import org.kumquatvane.core.PeerMessage;

/**
 * Reply to a heartbeat.
 *
 * @param nonce nonce of the heartbeat
 * @param promisedDigest the only view that the sender acts on for the promise duration, {@link
 *     ViewDigest#NONE} if it makes no promise
 */
public record HeartbeatReply(int nonce, long promisedDigest) implements PeerMessage {}
