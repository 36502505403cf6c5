package org.kumquatvane.engine;

import java.util.Optional;
import org.kumquatvane.operations.RecordedResponse;

/** Learns how the delivery of an answer to the caller ended: exactly one call, on any thread. */
public interface DeliveryListener {
  /**
   * The whole answer came from the backend server.
   *
   * @param captured the answer, if it was to be captured and is short enough
   */
  void onCompleted(Optional<RecordedResponse> captured);

  /** The backend server's answer ended early; the caller's connection was broken. */
  void onTruncated();

  /** The caller left before the whole answer was passed on. */
  void onCallerDisconnected();
}
