package org.kumquatvane.engine;

/** A running attempt. */
public interface Attempt {
  /** Cancels the attempt; its connection is closed and never reused. */
  void cancel();

  /**
   * Returns whether the response has been received completely, so that its delivery depends on the
   * caller alone.
   *
   * @return false while a response is streamed or awaited
   */
  boolean isReceived();

  /** Discards the response body; the connection is reused only if the whole body is read. */
  void discardResponse();

  /**
   * Delivers the response to the caller.
   *
   * @param attempts attempts made for the logical request, for the header Kumquatvane-Attempts
   * @param listener notified when the delivery ends
   */
  void deliver(int attempts, DeliveryListener listener);

  /**
   * Returns what is known of the connection and the response so far.
   *
   * @return the trace; {@link AttemptTrace#NONE} before a connection is used
   */
  AttemptTrace trace();
}
