package org.kumquatvane.peering.internal;

import org.kumquatvane.core.PeerMessage;

/**
 * Last frame of the handshake, sent by the connecting side.
 *
 * @param proof proof that the connecting side has the fleet secret
 */
@SuppressWarnings("ArrayRecordComponent")
public record Proof(byte[] proof) implements PeerMessage {}
