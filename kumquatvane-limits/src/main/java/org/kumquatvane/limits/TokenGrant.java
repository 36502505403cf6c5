package org.kumquatvane.limits;

import org.kumquatvane.core.PeerMessage;
import org.kumquatvane.core.WorkspaceId;

/**
 * Answers a {@link TokenRequest}; each token is spent at once or lost.
 *
 * @param requestId the request that is answered; a second or late answer is ignored
 * @param workspace the workspace
 * @param count granted tokens, may be zero
 * @param retryAfterNanos time after which another token is expected, if fewer than asked for
 */
public record TokenGrant(long requestId, WorkspaceId workspace, int count, long retryAfterNanos)
    implements PeerMessage {}
