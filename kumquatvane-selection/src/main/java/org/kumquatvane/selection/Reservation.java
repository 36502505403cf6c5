package org.kumquatvane.selection;

/**
 * A slot of an instance, held for one attempt.
 *
 * @param instance the instance
 * @param trial whether the attempt is a trial of an ejected instance
 * @param startedNanos monotonic time of the reservation
 * @param snapshot state of the instance that the selection was based on
 */
public record Reservation(
    Instance instance, boolean trial, long startedNanos, SelectionSnapshot snapshot) {
  /**
   * State of an instance, as known to this VM, when it was selected.
   *
   * @param failureProbability probability that an attempt at it fails
   * @param evidenceAgeMillis time since its last successful response known to this VM
   * @param attemptsInFlight attempts in flight at it known to this VM, including this one
   */
  public record SelectionSnapshot(
      double failureProbability, long evidenceAgeMillis, int attemptsInFlight) {
    /** Nothing is known about the instance. */
    public static final SelectionSnapshot NONE = new SelectionSnapshot(0, 0, 0);
  }
}
