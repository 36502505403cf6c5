package org.kumquatvane.peering.internal;

import org.kumquatvane.core.PeerMessage;

/**
 * Reply of the accepting side to {@link Hello}.
 *
 * @param nonce random bytes that the proof of the connecting side must cover
 * @param proof proof that the accepting side has the fleet secret
 */
@SuppressWarnings("ArrayRecordComponent")
public record Challenge(byte[] nonce, byte[] proof) implements PeerMessage {}
