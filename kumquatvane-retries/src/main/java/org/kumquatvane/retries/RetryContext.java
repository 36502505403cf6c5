package org.kumquatvane.retries;

import org.kumquatvane.core.AttemptFailure;
import org.kumquatvane.core.Deadline;
import org.kumquatvane.document.Service;

/**
 * What is known when an attempt has failed.
 *
 * @param service the service and its settings
 * @param priority rank of the request, 0 for the most urgent
 * @param idempotent whether running the request twice does no harm
 * @param bodyReplayable whether the whole body is still at hand
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
