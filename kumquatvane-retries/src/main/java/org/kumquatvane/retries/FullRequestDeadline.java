package org.kumquatvane.retries;

import java.time.Duration;
import org.kumquatvane.core.Deadline;
import org.kumquatvane.core.RouteId;
import org.kumquatvane.core.ServiceName;

/**
 * Lets each attempt run until the request deadline; baseline for comparisons with other policies.
 */
public final class FullRequestDeadline implements AttemptDeadlinePolicy {
  @Override
  public Deadline attemptDeadline(AttemptContext context) {
    return context.deadline();
  }

  @Override
  public void recordLatency(ServiceName service, RouteId route, Duration latency) {}

  @Override
  public void recordShed(ServiceName service) {}
}
