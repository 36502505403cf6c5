package org.kumquatvane.distribution;

import org.kumquatvane.core.PeerMessage;

/**
 * Requests all items of another VM.
 *
 * @param knownRevision revision up to which the sender's items are complete
 */
public record ItemsInquiry(long knownRevision) implements PeerMessage {}
