package org.kumquatvane.distribution;

import org.kumquatvane.core.PeerMessage;

/**
 * Requests all items of another VM if it has newer ones, or keeps some from before the source
 * returned from a copy.
 *
 * @param known position up to which the sender's items are complete
 */
public record ItemsInquiry(SourcePosition known) implements PeerMessage {}
