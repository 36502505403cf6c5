package org.kumquatvane.engine.gray;

import org.kumquatvane.document.EjectionProfile;
import org.kumquatvane.document.RetryMode;
import org.kumquatvane.document.SelectionMode;

/**
 * A set of policies to compare.
 *
 * @param name name in the results
 * @param selection how an instance is chosen
 * @param profile how evidence is weighed
 * @param retry when attempts are repeated
 * @param earlyDeadlines whether hanging attempts are given up early
 * @param limitsSlots whether the slots in use adapt to shedding
 * @param nearPreference preference for the own failure domain, 0 to 1
 */
record Way(
    String name,
    SelectionMode selection,
    EjectionProfile profile,
    RetryMode retry,
    boolean earlyDeadlines,
    boolean limitsSlots,
    double nearPreference) {
  private static final double NEAR_PREFERENCE = 0.5;

  static final Way SIMPLEST =
      new Way(
          "simplest",
          SelectionMode.ROUND_ROBIN,
          EjectionProfile.NONE,
          RetryMode.NONE,
          false,
          false,
          0);

  static Way full(EjectionProfile profile) {
    return new Way(
        profile.name().toLowerCase(java.util.Locale.ROOT),
        SelectionMode.TWO_CHOICES,
        profile,
        RetryMode.BUDGETED,
        true,
        true,
        NEAR_PREFERENCE);
  }

  Way withRetry(RetryMode mode) {
    return new Way(
        "retry " + mode,
        selection,
        profile,
        mode,
        mode != RetryMode.NONE,
        limitsSlots,
        nearPreference);
  }

  Way withoutSlotLimit() {
    return new Way(
        name + " without slot limit",
        selection,
        profile,
        retry,
        earlyDeadlines,
        false,
        nearPreference);
  }

  Way withNearPreference(double preference) {
    return new Way(
        "near " + preference, selection, profile, retry, earlyDeadlines, limitsSlots, preference);
  }
}
