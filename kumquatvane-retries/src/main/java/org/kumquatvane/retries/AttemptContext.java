package org.kumquatvane.retries;

import org.kumquatvane.core.Deadline;
import org.kumquatvane.core.RouteId;
import org.kumquatvane.document.Service;

/**
 * State of a request when an attempt starts.
 *
 * @param service the service and its settings
 * @param route the route
 * @param retryable whether the request is idempotent and its whole body buffered
 * @param attempt number of this attempt, 1 for the first
 * @param failureProbability probability that the attempt fails
 * @param deadline when the caller stops waiting
 */
public record AttemptContext(
    Service service,
    RouteId route,
    boolean retryable,
    int attempt,
    double failureProbability,
    Deadline deadline) {}
