package org.kumquatvane.limits.internal;

import java.util.List;
import org.jspecify.annotations.Nullable;
import org.kumquatvane.core.VmId;

/**
 * A request for tokens that waits at this VM until tokens or leases arrive.
 *
 * @param borrower the VM that asked, or null if the requests wait at this VM
 * @param requestId number of the borrower's request
 * @param count wanted tokens
 * @param localRequests the waiting requests if they wait at this VM
 * @param answerByNanos when the request is answered in any case
 * @param holdUntilNanos until when a granted token may be spent, on this VM's clock
 */
public record QueuedTokenRequest(
    @Nullable VmId borrower,
    long requestId,
    int count,
    List<WaitingRequest> localRequests,
    long answerByNanos,
    long holdUntilNanos) {}
