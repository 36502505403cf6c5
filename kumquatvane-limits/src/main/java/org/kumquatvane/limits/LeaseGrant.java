package org.kumquatvane.limits;

import org.kumquatvane.core.PeerMessage;
import org.kumquatvane.core.WorkspaceId;

/**
 * Lends a fraction of a workspace's rate and burst.
 *
 * @param requestId id of the lease request; a duplicate grant is ignored
 * @param workspace the workspace
 * @param fraction total fraction that the borrower holds from this lender, not an increment
 * @param tokens tokens transferred with the fraction
 * @param validNanos validity of the lease, counted from the sending of the request
 */
public record LeaseGrant(
    long requestId, WorkspaceId workspace, double fraction, double tokens, long validNanos)
    implements PeerMessage {}
