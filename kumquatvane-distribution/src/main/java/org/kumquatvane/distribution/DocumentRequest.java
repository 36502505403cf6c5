package org.kumquatvane.distribution;

import org.kumquatvane.core.PeerMessage;

/**
 * Requests one part of a document or fragment.
 *
 * @param digest digest of the whole content
 * @param offset index of the first byte of the part
 */
public record DocumentRequest(ContentDigest digest, int offset) implements PeerMessage {}
