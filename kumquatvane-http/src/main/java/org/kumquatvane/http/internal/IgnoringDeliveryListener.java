package org.kumquatvane.http.internal;

import java.util.Optional;
import org.kumquatvane.engine.DeliveryListener;
import org.kumquatvane.operations.RecordedAnswer;

/** Listener for answers that nobody waits for. */
final class IgnoringDeliveryListener implements DeliveryListener {
  @Override
  public void onCompleted(Optional<RecordedAnswer> captured) {}

  @Override
  public void onTruncated() {}

  @Override
  public void onCallerDisconnected() {}
}
