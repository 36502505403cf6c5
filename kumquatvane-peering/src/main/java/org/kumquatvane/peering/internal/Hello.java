package org.kumquatvane.peering.internal;

import org.kumquatvane.core.PeerMessage;

/**
 * First frame of the connecting side.
 *
 * @param sender name of the connecting VM
 * @param destination name of the VM it wants to reach; another VM may now use the address
 * @param endpoint where the connecting VM listens
 * @param nonce random bytes that the answer must cover
 */
@SuppressWarnings("ArrayRecordComponent")
public record Hello(String sender, String destination, String endpoint, byte[] nonce)
    implements PeerMessage {}
