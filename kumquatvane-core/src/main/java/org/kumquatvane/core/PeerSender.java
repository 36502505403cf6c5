package org.kumquatvane.core;

import java.util.Collection;

/** Sends messages to other VMs. */
public interface PeerSender {
  /**
   * Sends a message without blocking. The message may be lost, duplicated or delayed.
   *
   * @param destination the VM that receives it
   * @param message the message
   */
  void send(VmId destination, PeerMessage message);

  /**
   * Sends the same message to several VMs, like {@link #send}. A network encodes it once.
   *
   * @param destinations the VMs that receive it
   * @param message the message
   */
  default void sendToAll(Collection<VmId> destinations, PeerMessage message) {
    destinations.forEach(destination -> send(destination, message));
  }
}
