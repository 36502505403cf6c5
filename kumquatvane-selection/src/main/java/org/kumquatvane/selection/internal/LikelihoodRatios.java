package org.kumquatvane.selection.internal;

import org.kumquatvane.ejection.AttemptOutcome;

/**
 * Likelihood ratios of what attempts show: how many times more likely it is when the instance is in
 * a failing spell than when it is sound.
 */
final class LikelihoodRatios {
  /** Share of attempts that an instance in a failing spell leaves without an answer. */
  private static final double UNANSWERED_SHARE = 0.75;

  /** A quick answer in a failing spell is as likely as an attempt that is not failed. */
  private static final double FAST_RESPONSE = 1 - UNANSWERED_SHARE;

  /** An answer later than most can come from a slow instance as well as from a long request. */
  private static final double SLOW_RESPONSE = 1;

  private static final double VERY_SLOW_RESPONSE = 4;

  /** Sound instances answer about one request in a hundred with an error. */
  private static final double SERVER_ERROR_RATIO = 20;

  /** Sound instances lose no connections and send no broken answers, but paths do. */
  private static final double BROKEN_CONNECTION = 30;

  /** A full instance sheds by right; one that sheds although it has free slots does not. */
  private static final double SHED_RATIO = 2;

  private static final double NEUTRAL = 1;
  private static final double SLOW_DEVIATIONS = 1.5;
  private static final double VERY_SLOW_DEVIATIONS = 2.5;

  private LikelihoodRatios() {}

  /**
   * Returns the ratio of an attempt that ended.
   *
   * @param kind how it ended
   * @param deviations its latency in deviations above the mean
   * @param survival share of the answers of sound instances that take longer
   */
  static double ofOutcome(AttemptOutcome.Kind kind, double deviations, double survival) {
    return switch (kind) {
      case SUCCESS -> ofResponse(deviations);
      case SERVER_ERROR -> SERVER_ERROR_RATIO;
      // An attempt may be given up early, when a sound instance would have answered soon.
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

  /** Returns the ratio of an attempt that has had no answer so far. */
  static double ofPendingAttempt(double survival) {
    return (UNANSWERED_SHARE + (1 - UNANSWERED_SHARE) * survival) / survival;
  }
}
