package org.kumquatvane.membership;

import org.kumquatvane.core.PeerMessage;

/**
 * Shows that the sender runs and asks the receiver to promise the sender's view.
 *
 * @param nonce identifies the sender's round of heartbeats; the reply repeats it
 * @param viewDigest the view that the sender promises, {@link ViewDigest#NONE} without one
 * @param configuration what the sender has in force
 */
public record Heartbeat(int nonce, long viewDigest, ConfigurationVersions configuration)
    implements PeerMessage {}
