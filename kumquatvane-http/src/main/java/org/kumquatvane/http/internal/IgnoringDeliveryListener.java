package org.kumquatvane.http.internal;

import java.util.Optional;
import org.kumquatvane.engine.DeliveryListener;
import org.kumquatvane.operations.RecordedResponse;

/** Listener for responses that are discarded. */
final class IgnoringDeliveryListener implements DeliveryListener {
  @Override
  public void onHeadDelivered(int status) {}

  @Override
  public void onCompleted(Optional<RecordedResponse> captured) {}

  @Override
  public void onTruncated() {}

  @Override
  public void onCallerDisconnected() {}
}
