package org.kumquatvane.engine;

import org.kumquatvane.core.Deadline;
import org.kumquatvane.core.RequestId;
import org.kumquatvane.core.WorkspaceId;
import org.kumquatvane.selection.Instance;

/**
 * One attempt at an instance.
 *
 * @param request the logical request
 * @param instance the instance
 * @param workspace the workspace for which the request runs
 * @param deadline when the head of the answer must have come
 * @param maximumConnections connections to this instance that this VM may hold
 * @param retryable whether the request can be sent again after this attempt fails
 * @param captureResponse whether a short answer is to be captured for repeats
 */
public record AttemptPlan(
    RequestId request,
    Instance instance,
    WorkspaceId workspace,
    Deadline deadline,
    int maximumConnections,
    boolean retryable,
    boolean captureResponse) {}
