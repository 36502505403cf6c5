package org.kumquatvane.distribution;

import org.kumquatvane.core.PeerMessage;

/**
 * Asks another VM for all items that it knows.
 *
 * @param knownRevision revision that the sender has
 */
public record ItemsInquiry(long knownRevision) implements PeerMessage {}
