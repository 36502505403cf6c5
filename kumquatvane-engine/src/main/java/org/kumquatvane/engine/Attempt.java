package org.kumquatvane.engine;

/** A running attempt. */
public interface Attempt {
  /** Ends the attempt; its connection is closed and never reused. */
  void cancel();

  /** Drops the answer after its head; the connection is reused only if the whole body is read. */
  void discardResponse();

  /**
   * Passes the answer on to the caller.
   *
   * @param attempts attempts made for the logical request, for the header Kumquatvane-Attempts
   * @param listener learns how the delivery ended
   */
  void deliver(int attempts, DeliveryListener listener);
}
