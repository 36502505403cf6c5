package org.kumquatvane.core;

/**
 * Marker interface of the messages that VMs send to each other.
 *
 * <p>Messages are immutable records, defined in the modules that use them; the peering module
 * encodes them.
 */
public interface PeerMessage {}
