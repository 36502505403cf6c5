package org.kumquatvane.membership;

import org.kumquatvane.core.PeerMessage;

/**
 * Liveness signal of the sender, and a request to promise its view.
 *
 * @param nonce identifies the sender's round of heartbeats; the reply repeats it
 * @param viewDigest the view that the sender promises, {@link ViewDigest#NONE} if there is none
 * @param configuration versions of the configuration that the sender has in force
 */
public record Heartbeat(int nonce, long viewDigest, ConfigurationVersions configuration)
    implements PeerMessage {}
