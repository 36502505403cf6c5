package org.kumquatvane.selection.internal;

import org.kumquatvane.ejection.AttemptOutcome;

/**
 * Likelihood ratios of what attempts show: how many times more likely it is when the instance is in
 * a failing spell than when it is sound.
 */
final class Evidence {
  /** Share of attempts that an instance in a failing spell leaves without an answer. */
  private static final double FAILING_SHARE = 0.75;

  /** A quick answer in a failing spell is as likely as an attempt that is not failed. */
  private static final double QUICK_ANSWER = 1 - FAILING_SHARE;

  /** An answer later than most can come from a slow instance as well as from a long request. */
  private static final double LATE_ANSWER = 1;

  private static final double VERY_LATE_ANSWER = 4;

  /** Sound instances answer about one request in a hundred with an error. */
  private static final double ERROR = 20;

  /** Sound instances lose no connections and send no broken answers, but paths do. */
  private static final double BROKEN = 30;

  /** A full instance sheds by right; one that sheds although it has free slots does not. */
  private static final double SHED = 2;

  private static final double NONE = 1;
  private static final double LATE_DEVIATIONS = 1.5;
  private static final double VERY_LATE_DEVIATIONS = 2.5;

  private Evidence() {}

  /**
   * Returns the ratio of an attempt that ended.
   *
   * @param kind how it ended
   * @param deviations its latency in deviations above the mean
   * @param survival share of the answers of sound instances that take longer
   */
  static double ofOutcome(AttemptOutcome.Kind kind, double deviations, double survival) {
    return switch (kind) {
      case SUCCESS -> ofAnswer(deviations);
      case SERVER_ERROR -> ERROR;
      // An attempt may be given up early, when a sound instance would have answered soon.
      case TIMED_OUT -> ofWaiting(survival);
      case CONNECT_FAILED, CONNECTION_LOST, ANSWER_INVALID -> BROKEN;
      case SHED -> SHED;
      case CANCELLED -> NONE;
    };
  }

  private static double ofAnswer(double deviations) {
    if (deviations > VERY_LATE_DEVIATIONS) {
      return VERY_LATE_ANSWER;
    }
    return deviations > LATE_DEVIATIONS ? LATE_ANSWER : QUICK_ANSWER;
  }

  /** Returns the ratio of an attempt that has had no answer so far. */
  static double ofWaiting(double survival) {
    return (FAILING_SHARE + (1 - FAILING_SHARE) * survival) / survival;
  }
}
