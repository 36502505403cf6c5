package org.kumquatvane.ejection;

import org.kumquatvane.core.InstanceId;
import org.kumquatvane.core.ServiceName;

/** Never ejects an instance; the reference for comparisons with other implementations. */
public final class NoEjection implements InstanceHealth {
  @Override
  public Eligibility eligibility(ServiceName service, InstanceId instance) {
    return Eligibility.ELIGIBLE;
  }

  @Override
  public boolean hasEjections(ServiceName service) {
    return false;
  }

  @Override
  public void recordOutcome(ServiceName service, InstanceId instance, AttemptOutcome outcome) {}
}
