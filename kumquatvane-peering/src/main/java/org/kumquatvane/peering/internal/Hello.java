package org.kumquatvane.peering.internal;

import org.kumquatvane.core.PeerMessage;

/**
 * First frame of the handshake, sent by the connecting side.
 *
 * @param sender name of the connecting VM
 * @param destination name of the intended VM, since the address may belong to another VM by now
 * @param endpoint address on which the connecting VM listens
 * @param nonce random bytes that the proof of the accepting side must cover
 */
@SuppressWarnings("ArrayRecordComponent")
public record Hello(String sender, String destination, String endpoint, byte[] nonce)
    implements PeerMessage {}
