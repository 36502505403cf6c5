package org.kumquatvane.limits;

import org.kumquatvane.core.PeerMessage;
import org.kumquatvane.core.WorkspaceId;

/**
 * Requests a fraction of a workspace's rate and burst from another VM.
 *
 * @param requestId increases with every request of the sender, so that duplicate and older requests
 *     are ignored
 * @param workspace the workspace
 * @param fraction largest total fraction that the sender requests from the receiver
 * @param validNanos requested validity of the lease, counted from sending
 */
public record LeaseRequest(long requestId, WorkspaceId workspace, double fraction, long validNanos)
    implements PeerMessage {}
