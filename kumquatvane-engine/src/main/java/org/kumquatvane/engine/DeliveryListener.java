package org.kumquatvane.engine;

import java.util.Optional;
import org.kumquatvane.operations.RecordedResponse;

/**
 * Notified, on any thread, of the delivery of a response to the caller: once when it begins, and
 * exactly once when it ends.
 */
public interface DeliveryListener {
  /**
   * The response head is about to be sent.
   *
   * @param status status that the caller gets
   */
  void onHeadDelivered(int status);

  /**
   * The complete response was received from the backend server.
   *
   * @param captured the response, if capture was requested and it is short enough
   */
  void onCompleted(Optional<RecordedResponse> captured);

  /** The backend server's response ended early, so the caller's connection was closed. */
  void onTruncated();

  /** The caller disconnected before the whole response was delivered. */
  void onCallerDisconnected();
}
