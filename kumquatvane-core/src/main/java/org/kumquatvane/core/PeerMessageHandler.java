package org.kumquatvane.core;

/**
 * Receives messages of one type from other VMs, on the worker pool.
 *
 * @param <M> type of the messages
 */
@FunctionalInterface
public interface PeerMessageHandler<M extends PeerMessage> {
  /**
   * Handles one message; must not block.
   *
   * @param sender the authenticated VM that sent it
   * @param message the message
   */
  void handle(VmId sender, M message);
}
