package org.kumquatvane.engine;

import java.util.Optional;
import org.kumquatvane.operations.RecordedResponse;

/** Notified exactly once, on any thread, when the delivery of a response to the caller ends. */
public interface DeliveryListener {
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
