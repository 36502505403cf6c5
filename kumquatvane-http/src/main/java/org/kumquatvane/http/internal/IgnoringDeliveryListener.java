package org.kumquatvane.http.internal;

import java.util.Optional;
import org.kumquatvane.engine.DeliveryListener;
import org.kumquatvane.operations.RecordedResponse;

/** Listener for answers that nobody waits for. */
final class IgnoringDeliveryListener implements DeliveryListener {
  @Override
  public void completed(Optional<RecordedResponse> captured) {}

  @Override
  public void cut() {}

  @Override
  public void abandoned() {}
}
