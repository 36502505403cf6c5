package org.kumquatvane.limits;

import org.kumquatvane.core.PeerMessage;
import org.kumquatvane.core.WorkspaceId;

/**
 * Asks a VM to lend a fraction of a workspace's rate and burst.
 *
 * @param requestId rises with every request of the sender, so a doubled or older one is ignored
 * @param workspace the workspace
 * @param fraction largest fraction that the sender wants to hold from the receiver in total
 * @param validNanos time for which it is wanted, counted from sending
 */
public record LeaseRequest(long requestId, WorkspaceId workspace, double fraction, long validNanos)
    implements PeerMessage {}
