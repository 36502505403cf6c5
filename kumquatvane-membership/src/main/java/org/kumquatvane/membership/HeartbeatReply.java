package org.kumquatvane.membership;

import org.kumquatvane.core.PeerMessage;

/**
 * Answer to a heartbeat.
 *
 * @param nonce nonce of the answered heartbeat
 * @param promisedDigest the view that the sender promises to act on exclusively for the promise
 *     time, {@link ViewDigest#NONE} if it makes no promise
 */
public record HeartbeatReply(int nonce, long promisedDigest) implements PeerMessage {}
