package org.kumquatvane.core;

/**
 * Marks the messages that VMs send to each other.
 *
 * <p>A message is an immutable record in the module that decides about it; the peering module
 * encodes it.
 */
public interface PeerMessage {}
