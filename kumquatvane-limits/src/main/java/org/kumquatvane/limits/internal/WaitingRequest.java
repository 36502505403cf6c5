package org.kumquatvane.limits.internal;

import java.util.function.Consumer;
import org.kumquatvane.core.Deadline;
import org.kumquatvane.limits.LimitDecision;

/**
 * A caller's request that waits for a token.
 *
 * @param deadline when the caller stops waiting
 * @param decision receives the one decision
 * @param vmsAsked how many VMs were asked before
 */
public record WaitingRequest(Deadline deadline, Consumer<LimitDecision> decision, int vmsAsked) {
  /**
   * Returns the same request after another VM was asked in vain.
   *
   * @return a request that counts one more
   */
  public WaitingRequest withOneMoreVmAsked() {
    return new WaitingRequest(deadline, decision, vmsAsked + 1);
  }
}
