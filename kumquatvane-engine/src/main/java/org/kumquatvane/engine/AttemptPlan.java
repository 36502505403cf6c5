package org.kumquatvane.engine;

import org.kumquatvane.core.Deadline;
import org.kumquatvane.core.RequestId;
import org.kumquatvane.core.WorkspaceId;
import org.kumquatvane.selection.Instance;

/**
 * Parameters of one attempt at an instance.
 *
 * @param request the logical request
 * @param instance the instance
 * @param workspace the workspace for which the request runs
 * @param deadline time by which the response head must have been received
 * @param maximumConnections maximum number of connections of this VM to the instance
 * @param retryable whether the request can be sent again after this attempt fails
 * @param captureResponse whether a short response is captured so that it can be replayed
 */
public record AttemptPlan(
    RequestId request,
    Instance instance,
    WorkspaceId workspace,
    Deadline deadline,
    int maximumConnections,
    boolean retryable,
    boolean captureResponse) {}
