package org.kumquatvane.limits.internal;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.kumquatvane.core.VmId;
import org.kumquatvane.core.WorkspaceId;

/** Unanswered token requests of this VM and their average round-trip time. Not thread-safe. */
public final class PendingTokenRequests {
  private static final long MAXIMUM_TIMEOUT_NANOS = 200_000_000L;
  private static final double NEWEST_SAMPLE_WEIGHT = 0.1;
  private static final int TIMEOUT_ROUND_TRIPS = 4;

  private final Map<Long, Entry> entries = new HashMap<>();
  private final long minTimeoutNanos;
  private double roundTripNanos;

  /**
   * Creates an empty table.
   *
   * @param minTimeoutNanos shortest timeout of a request
   */
  public PendingTokenRequests(long minTimeoutNanos) {
    this.minTimeoutNanos = minTimeoutNanos;
  }

  /**
   * Returns the timeout of a token request. It is short because the lender counts a granted token
   * against its burst for this time.
   *
   * @return nanoseconds
   */
  public long timeoutNanos() {
    return Math.min(
        MAXIMUM_TIMEOUT_NANOS,
        Math.max(minTimeoutNanos, (long) (roundTripNanos * TIMEOUT_ROUND_TRIPS)));
  }

  /**
   * Records a request.
   *
   * @param requestId its id
   * @param entry the request
   */
  public void add(long requestId, Entry entry) {
    entries.put(requestId, entry);
  }

  /**
   * Completes a request when its grant arrives. Only the first grant before the deadline is valid;
   * any other one is ignored.
   *
   * @param requestId id of the request
   * @param sender the VM that sent the grant
   * @param nowNanos monotonic time
   * @return the request, or null if the grant is ignored
   */
  public @Nullable Entry complete(long requestId, VmId sender, long nowNanos) {
    Entry entry = entries.get(requestId);
    if (entry == null || !entry.target.equals(sender) || entry.untilNanos - nowNanos <= 0) {
      return null;
    }
    entries.remove(requestId);
    roundTripNanos += NEWEST_SAMPLE_WEIGHT * (nowNanos - entry.sentNanos - roundTripNanos);
    return entry;
  }

  /**
   * Removes a request that timed out.
   *
   * @param requestId id of the request
   * @return the request, or null if it was answered
   */
  public @Nullable Entry expire(long requestId) {
    Entry entry = entries.remove(requestId);
    if (entry != null) {
      roundTripNanos = Math.min(MAXIMUM_TIMEOUT_NANOS, roundTripNanos * 2);
    }
    return entry;
  }

  /**
   * Cancels all requests of a workspace; their grants are ignored.
   *
   * @param workspace the workspace, or null for all
   * @return the cancelled requests
   */
  public List<Entry> cancelAll(@Nullable WorkspaceId workspace) {
    List<Entry> cancelled = new ArrayList<>();
    entries
        .values()
        .removeIf(
            entry -> {
              boolean matches = workspace == null || entry.workspace.equals(workspace);
              if (matches) {
                cancelled.add(entry);
              }
              return matches;
            });
    return cancelled;
  }

  /**
   * One token request.
   *
   * @param workspace the workspace
   * @param target the VM that received the request
   * @param requests the requests that wait for tokens
   * @param sentNanos when it was sent
   * @param untilNanos when it times out
   */
  public record Entry(
      WorkspaceId workspace,
      VmId target,
      List<WaitingRequest> requests,
      long sentNanos,
      long untilNanos) {}
}
