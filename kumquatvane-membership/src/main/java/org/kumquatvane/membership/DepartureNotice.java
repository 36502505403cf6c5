package org.kumquatvane.membership;

import org.kumquatvane.core.PeerMessage;

/**
 * Announces a planned stop of the sender, which has released all its shares.
 *
 * @param viewDigest the last view that the sender acted on
 */
public record DepartureNotice(long viewDigest) implements PeerMessage {}
