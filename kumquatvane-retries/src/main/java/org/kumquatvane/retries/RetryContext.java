package org.kumquatvane.retries;

import org.kumquatvane.core.AttemptFailure;
import org.kumquatvane.core.Deadline;
import org.kumquatvane.document.Service;

/**
 * State of a request after a failed attempt.
 *
 * @param service the service and its settings
 * @param priority priority of the request, 0 for the most urgent
 * @param idempotent whether the request is safe to run twice
 * @param bodyReplayable whether the whole body is buffered and can be sent again
 * @param attemptsMade attempts of this logical request so far, at least 1
 * @param failure how the last attempt failed
 * @param deadline when the caller stops waiting
 */
public record RetryContext(
    Service service,
    int priority,
    boolean idempotent,
    boolean bodyReplayable,
    int attemptsMade,
    AttemptFailure failure,
    Deadline deadline) {}
