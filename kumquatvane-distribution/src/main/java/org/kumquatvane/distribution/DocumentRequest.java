package org.kumquatvane.distribution;

import org.kumquatvane.core.PeerMessage;

/**
 * Asks for one part of a document or fragment.
 *
 * @param digest digest of the whole content
 * @param offset first byte of the part
 */
public record DocumentRequest(ContentDigest digest, int offset) implements PeerMessage {}
