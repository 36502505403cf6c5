package org.kumquatvane.limits;

import org.kumquatvane.core.PeerMessage;
import org.kumquatvane.core.WorkspaceId;

/**
 * Asks a VM for single tokens, one for each waiting request.
 *
 * @param requestId unique among the requests of the sender
 * @param workspace the workspace
 * @param count number of waiting requests
 * @param collect whether the receiver may keep the request while it borrows fractions of others
 * @param validNanos time after which the sender ignores the answer, counted from sending
 */
public record TokenRequest(
    long requestId, WorkspaceId workspace, int count, boolean collect, long validNanos)
    implements PeerMessage {}
