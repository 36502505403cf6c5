package org.kumquatvane.peering.internal;

import org.kumquatvane.core.PeerMessage;

/**
 * Answer of the accepting side.
 *
 * @param nonce random bytes that the connecting side's proof must cover
 * @param proof shows that the accepting side knows the secret
 */
@SuppressWarnings("ArrayRecordComponent")
public record Challenge(byte[] nonce, byte[] proof) implements PeerMessage {}
