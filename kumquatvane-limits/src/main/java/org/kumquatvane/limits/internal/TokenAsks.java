package org.kumquatvane.limits.internal;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.kumquatvane.core.VmId;
import org.kumquatvane.core.WorkspaceId;

/**
 * Token requests of this VM that are not answered yet, and how long an answer takes. Not
 * thread-safe.
 */
public final class TokenAsks {
  private static final long LONGEST_HOLD_NANOS = 200_000_000L;
  private static final double WEIGHT_OF_NEWEST = 0.1;
  private static final int HOLD_PER_ROUND_TRIP = 4;

  private final Map<Long, Ask> asks = new HashMap<>();
  private final long shortestHoldNanos;
  private double roundTripNanos;

  /**
   * Creates an empty table.
   *
   * @param shortestHoldNanos shortest time for which an answer is awaited
   */
  public TokenAsks(long shortestHoldNanos) {
    this.shortestHoldNanos = shortestHoldNanos;
  }

  /**
   * Returns how long an answer is awaited. Short, because the lender counts a granted token against
   * its burst for this time.
   *
   * @return nanoseconds
   */
  public long holdNanos() {
    return Math.min(
        LONGEST_HOLD_NANOS,
        Math.max(shortestHoldNanos, (long) (roundTripNanos * HOLD_PER_ROUND_TRIP)));
  }

  /**
   * Records a request.
   *
   * @param requestId its number
   * @param ask the request
   */
  public void add(long requestId, Ask ask) {
    asks.put(requestId, ask);
  }

  /**
   * Ends a request through its answer. Only the first answer, and only one before the deadline, is
   * good; any other one is void.
   *
   * @param requestId number of the request
   * @param sender the VM that answers
   * @param nowNanos monotonic time
   * @return the request, or null if the answer is void
   */
  public @Nullable Ask answered(long requestId, VmId sender, long nowNanos) {
    Ask ask = asks.get(requestId);
    if (ask == null || !ask.target.equals(sender) || ask.untilNanos - nowNanos <= 0) {
      return null;
    }
    asks.remove(requestId);
    roundTripNanos += WEIGHT_OF_NEWEST * (nowNanos - ask.sentNanos - roundTripNanos);
    return ask;
  }

  /**
   * Ends a request that was not answered.
   *
   * @param requestId number of the request
   * @return the request, or null if it was answered
   */
  public @Nullable Ask timedOut(long requestId) {
    Ask ask = asks.remove(requestId);
    if (ask != null) {
      roundTripNanos = Math.min(LONGEST_HOLD_NANOS, roundTripNanos * 2);
    }
    return ask;
  }

  /**
   * Ends all requests of a workspace; their answers become void.
   *
   * @param workspace the workspace, or null for all
   * @return the ended requests
   */
  public List<Ask> endAll(@Nullable WorkspaceId workspace) {
    List<Ask> ended = new ArrayList<>();
    asks.values()
        .removeIf(
            ask -> {
              boolean ends = workspace == null || ask.workspace.equals(workspace);
              if (ends) {
                ended.add(ask);
              }
              return ends;
            });
    return ended;
  }

  /**
   * One token request.
   *
   * @param workspace the workspace
   * @param target the VM that was asked
   * @param requests the requests that wait
   * @param sentNanos when it was sent
   * @param untilNanos when its answer becomes void
   */
  public record Ask(
      WorkspaceId workspace,
      VmId target,
      List<WaitingRequest> requests,
      long sentNanos,
      long untilNanos) {}
}
