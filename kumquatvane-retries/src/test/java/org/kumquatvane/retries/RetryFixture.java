package org.kumquatvane.retries;

import java.time.Duration;
import org.kumquatvane.core.ServiceName;
import org.kumquatvane.document.EjectionProfile;
import org.kumquatvane.document.EjectionSettings;
import org.kumquatvane.document.InstanceCapacity;
import org.kumquatvane.document.QueuePolicy;
import org.kumquatvane.document.RetryMode;
import org.kumquatvane.document.RetrySettings;
import org.kumquatvane.document.SelectionMode;
import org.kumquatvane.document.Service;

/** Creates services that allow up to four attempts per request. */
final class RetryFixture {
  private RetryFixture() {}

  static Service service(ServiceName name) {
    return new Service(
        name,
        new InstanceCapacity(1, 1, Duration.ZERO),
        new QueuePolicy(1, 1),
        SelectionMode.TWO_CHOICES,
        new EjectionSettings(EjectionProfile.NONE, 0, Duration.ofSeconds(1), Duration.ofSeconds(1)),
        new RetrySettings(RetryMode.BUDGETED, 4, 20, Duration.ofMillis(2)));
  }
}
