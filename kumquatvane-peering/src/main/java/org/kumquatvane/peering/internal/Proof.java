package org.kumquatvane.peering.internal;

import org.kumquatvane.core.PeerMessage;

/**
 * Last frame of the handshake.
 *
 * @param proof shows that the connecting side knows the secret
 */
@SuppressWarnings("ArrayRecordComponent")
public record Proof(byte[] proof) implements PeerMessage {}
