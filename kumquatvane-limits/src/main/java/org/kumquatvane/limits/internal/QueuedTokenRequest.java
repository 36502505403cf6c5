package org.kumquatvane.limits.internal;

import java.util.List;
import org.jspecify.annotations.Nullable;
import org.kumquatvane.core.VmId;

/**
 * A token request that is queued at this VM until tokens or leases become available.
 *
 * @param borrower the requesting VM, or null for requests of this VM
 * @param requestId id of the borrower's request
 * @param count requested tokens
 * @param localRequests the waiting requests if they are of this VM
 * @param answerByNanos latest time at which the request is answered
 * @param holdUntilNanos time until which a granted token may be spent, on this VM's clock
 */
public record QueuedTokenRequest(
    @Nullable VmId borrower,
    long requestId,
    int count,
    List<WaitingRequest> localRequests,
    long answerByNanos,
    long holdUntilNanos) {}
