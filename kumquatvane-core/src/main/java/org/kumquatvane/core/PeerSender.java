package org.kumquatvane.core;

/** Sends messages to other VMs. */
public interface PeerSender {
  /**
   * Sends a message without blocking. The message may be lost, duplicated or delayed.
   *
   * @param destination the VM that receives it
   * @param message the message
   */
  void send(VmId destination, PeerMessage message);
}
