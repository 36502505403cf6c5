package org.kumquatvane.selection;

/**
 * A slot of an instance, held for one attempt.
 *
 * @param instance the instance
 * @param trial whether the attempt is a trial of an ejected instance
 * @param startedNanos monotonic time of the reservation
 * @param snapshot what the choice was based on
 */
public record Reservation(
    Instance instance, boolean trial, long startedNanos, SelectionSnapshot snapshot) {
  /**
   * What was known of an instance when it was chosen.
   *
   * @param failureProbability probability that it gives no proper answer
   * @param evidenceAgeMillis time since its last proper answer that this VM knows of
   * @param attemptsInFlight attemptsInFlight in flight at it that this VM knows of, this one
   *     included
   */
  public record SelectionSnapshot(
      double failureProbability, long evidenceAgeMillis, int attemptsInFlight) {
    /** Nothing was known. */
    public static final SelectionSnapshot NONE = new SelectionSnapshot(0, 0, 0);
  }
}
