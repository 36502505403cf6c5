package org.kumquatvane.retries;

import java.time.Duration;
import org.kumquatvane.core.Deadline;
import org.kumquatvane.core.RouteId;
import org.kumquatvane.core.ServiceName;

/**
 * Decides when to abandon an attempt and try another instance, so that a hanging instance does not
 * consume the whole request deadline.
 */
public interface AttemptDeadlinePolicy {
  /**
   * Returns when an attempt may be abandoned in favor of a retry.
   *
   * @param context state of the request at the start of the attempt
   * @return a time not after the caller's deadline
   */
  Deadline attemptDeadline(AttemptContext context);

  /**
   * Records the latency of a response.
   *
   * @param service the service of the route
   * @param route the route
   * @param latency time from the start of the attempt to the response head
   */
  void recordLatency(ServiceName service, RouteId route, Duration latency);

  /**
   * Records that an instance refused an attempt because it lacks capacity.
   *
   * @param service the service of the instance
   */
  void recordShed(ServiceName service);
}
