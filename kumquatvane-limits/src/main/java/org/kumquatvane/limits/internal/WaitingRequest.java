package org.kumquatvane.limits.internal;

import java.util.function.Consumer;
import org.kumquatvane.core.Deadline;
import org.kumquatvane.limits.LimitDecision;

/**
 * A caller's request that waits for a token.
 *
 * @param deadline when the caller stops waiting
 * @param decision receives the one decision
 * @param vmsTried number of VMs from which tokens were already requested
 */
public record WaitingRequest(Deadline deadline, Consumer<LimitDecision> decision, int vmsTried) {
  /**
   * Returns the same request after another VM granted no token.
   *
   * @return a copy that counts one more VM
   */
  public WaitingRequest withOneMoreVmTried() {
    return new WaitingRequest(deadline, decision, vmsTried + 1);
  }
}
