package org.kumquatvane.limits;

import org.kumquatvane.core.PeerMessage;
import org.kumquatvane.core.WorkspaceId;

/**
 * Reply to a {@link TokenRequest}; each granted token is spent at once or lost.
 *
 * @param requestId id of the token request; a duplicate or late grant is ignored
 * @param workspace the workspace
 * @param count granted tokens, may be zero
 * @param retryAfterNanos time after which another token is expected, if fewer were granted than
 *     requested
 */
public record TokenGrant(long requestId, WorkspaceId workspace, int count, long retryAfterNanos)
    implements PeerMessage {}
