package org.kumquatvane.limits;

import org.kumquatvane.core.PeerMessage;
import org.kumquatvane.core.WorkspaceId;

/**
 * Requests single tokens from another VM, one for each waiting request.
 *
 * @param requestId unique among the requests of the sender
 * @param workspace the workspace
 * @param count number of waiting requests
 * @param collect whether the receiver may queue the request while it borrows fractions from other
 *     VMs
 * @param validNanos time after which the sender ignores the grant, counted from sending
 */
public record TokenRequest(
    long requestId, WorkspaceId workspace, int count, boolean collect, long validNanos)
    implements PeerMessage {}
