package org.kumquatvane.engine;

import org.kumquatvane.operations.RecordedResponse;

/**
 * One caller request as seen by the engine. A front end implements it together with its client of
 * the backend servers. Exactly one call of {@link #refuse}, {@link #replay}, {@link #abandon} or
 * {@link Attempt#deliver} ends the exchange.
 */
public interface Exchange {
  /**
   * Responds with a refusal.
   *
   * @param refusal the refusal
   */
  void refuse(Refusal refusal);

  /**
   * Responds with the recorded response of an earlier run.
   *
   * @param response the recorded response
   */
  void replay(RecordedResponse response);

  /** Releases what the request holds; its caller has left, so there is no response. */
  void abandon();

  /**
   * Starts an attempt without blocking.
   *
   * @param plan parameters of the attempt
   * @param listener notified of the outcome
   * @return the running attempt
   */
  Attempt startAttempt(AttemptPlan plan, AttemptListener listener);
}
