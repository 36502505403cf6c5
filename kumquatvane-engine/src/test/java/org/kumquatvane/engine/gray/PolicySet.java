package org.kumquatvane.engine.gray;

import org.kumquatvane.document.EjectionProfile;
import org.kumquatvane.document.RetryMode;
import org.kumquatvane.document.SelectionMode;

/**
 * A set of policies to compare.
 *
 * @param name name in the results
 * @param selection how an instance is chosen
 * @param profile ejection profile
 * @param retry retry mode
 * @param attemptDeadlines whether attempts have a deadline before that of the request
 * @param limitsSlots whether the number of slots used adapts to shedding
 * @param localPreference preference for the own failure domain, 0 to 1
 */
record PolicySet(
    String name,
    SelectionMode selection,
    EjectionProfile profile,
    RetryMode retry,
    boolean attemptDeadlines,
    boolean limitsSlots,
    double localPreference) {
  private static final double LOCAL_PREFERENCE = 0.5;

  static final PolicySet SIMPLEST =
      new PolicySet(
          "simplest",
          SelectionMode.ROUND_ROBIN,
          EjectionProfile.NONE,
          RetryMode.NONE,
          false,
          false,
          0);

  static PolicySet full(EjectionProfile profile) {
    return new PolicySet(
        profile.name().toLowerCase(java.util.Locale.ROOT),
        SelectionMode.TWO_CHOICES,
        profile,
        RetryMode.BUDGETED,
        true,
        true,
        LOCAL_PREFERENCE);
  }

  PolicySet withRetry(RetryMode mode) {
    return new PolicySet(
        "retry " + mode,
        selection,
        profile,
        mode,
        mode != RetryMode.NONE,
        limitsSlots,
        localPreference);
  }

  PolicySet withoutSlotLimit() {
    return new PolicySet(
        name + " without slot limit",
        selection,
        profile,
        retry,
        attemptDeadlines,
        false,
        localPreference);
  }

  PolicySet withLocalPreference(double preference) {
    return new PolicySet(
        "near " + preference, selection, profile, retry, attemptDeadlines, limitsSlots, preference);
  }
}
