package org.kumquatvane.distribution;

import org.kumquatvane.core.PeerMessage;

/**
 * Announces that the sender has a document in force and can serve its bytes.
 *
 * @param generation generation of the document
 * @param digest digest of its main bytes
 */
public record DocumentOffer(long generation, ContentDigest digest) implements PeerMessage {}
