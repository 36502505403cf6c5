package org.kumquatvane.membership;

import org.kumquatvane.core.PeerMessage;

/**
 * Announces that the sender stops as planned and has given up all shares.
 *
 * @param viewDigest the view that the sender acted on last
 */
public record DepartureNotice(long viewDigest) implements PeerMessage {}
