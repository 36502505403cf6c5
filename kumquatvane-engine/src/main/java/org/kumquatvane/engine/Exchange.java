package org.kumquatvane.engine;

import org.kumquatvane.operations.RecordedResponse;

/**
 * One request of a caller as the engine drives it; implemented by a front end together with its
 * client of backend servers. Exactly one of refuse, replay and {@link Attempt#deliver} ends it.
 */
public interface Exchange {
  /**
   * Answers with a refusal.
   *
   * @param refusal the refusal
   */
  void refuse(Refusal refusal);

  /**
   * Answers with the answer of an earlier run.
   *
   * @param answer the recorded answer
   */
  void replay(RecordedResponse answer);

  /**
   * Starts an attempt without blocking.
   *
   * @param plan where and for how long
   * @param listener learns the outcome
   * @return the running attempt
   */
  Attempt startAttempt(AttemptPlan plan, AttemptListener listener);
}
