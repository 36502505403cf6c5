package org.kumquatvane.selection.internal;

import org.kumquatvane.ejection.AttemptOutcome;

/**
 * Likelihood ratios of attempt outcomes: how many times more likely an outcome is during a failure
 * period of the instance than when the instance is healthy.
 */
final class LikelihoodRatios {
  /** Share of attempts that get no response during a failure period. */
  private static final double UNANSWERED_SHARE = 0.75;

  /** During a failure period, a fast response is as likely as an attempt that does not fail. */
  private static final double FAST_RESPONSE = 1 - UNANSWERED_SHARE;

  /** A slow response is as likely to result from a slow request as from a slow instance. */
  private static final double SLOW_RESPONSE = 1;

  private static final double VERY_SLOW_RESPONSE = 4;

  /** Healthy instances respond to about one request in a hundred with an error. */
  private static final double SERVER_ERROR_RATIO = 20;

  /**
   * Healthy instances lose no connections and send no malformed responses, but network faults can
   * cause both.
   */
  private static final double BROKEN_CONNECTION = 30;

  /** Shedding is normal for a full instance and a sign of failure only when it has free slots. */
  private static final double SHED_RATIO = 2;

  private static final double NEUTRAL = 1;
  private static final double SLOW_DEVIATIONS = 1.5;
  private static final double VERY_SLOW_DEVIATIONS = 2.5;

  private LikelihoodRatios() {}

  /**
   * Returns the likelihood ratio of a completed attempt.
   *
   * @param kind how it ended
   * @param deviations latency, in deviations above the mean
   * @param survival share of the responses of healthy instances that take longer
   */
  static double ofOutcome(AttemptOutcome.Kind kind, double deviations, double survival) {
    return switch (kind) {
      case SUCCESS -> ofResponse(deviations);
      case SERVER_ERROR -> SERVER_ERROR_RATIO;
      // An attempt can be abandoned before even a healthy instance would have responded.
      case TIMED_OUT -> ofPendingAttempt(survival);
      case CONNECT_FAILED, CONNECTION_LOST, ANSWER_INVALID -> BROKEN_CONNECTION;
      case SHED -> SHED_RATIO;
      case CANCELLED -> NEUTRAL;
    };
  }

  private static double ofResponse(double deviations) {
    if (deviations > VERY_SLOW_DEVIATIONS) {
      return VERY_SLOW_RESPONSE;
    }
    return deviations > SLOW_DEVIATIONS ? SLOW_RESPONSE : FAST_RESPONSE;
  }

  /** Returns the likelihood ratio of an attempt without a response so far. */
  static double ofPendingAttempt(double survival) {
    return (UNANSWERED_SHARE + (1 - UNANSWERED_SHARE) * survival) / survival;
  }
}
