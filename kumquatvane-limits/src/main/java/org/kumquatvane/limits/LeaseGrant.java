package org.kumquatvane.limits;

import org.kumquatvane.core.PeerMessage;
import org.kumquatvane.core.WorkspaceId;

/**
 * Lends a fraction of a workspace's rate and burst.
 *
 * @param requestId the request that is answered; a second answer is ignored
 * @param workspace the workspace
 * @param fraction fraction that the borrower holds from this lender in total, not in addition
 * @param tokens tokens that move with it
 * @param validNanos how long it holds, counted from the sending of the request
 */
public record LeaseGrant(
    long requestId, WorkspaceId workspace, double fraction, double tokens, long validNanos)
    implements PeerMessage {}
