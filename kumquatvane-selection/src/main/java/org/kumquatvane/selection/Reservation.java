package org.kumquatvane.selection;

/**
 * A slot of an instance, held for one attempt.
 *
 * @param instance the instance
 * @param trial whether the attempt is a trial of an ejected instance
 * @param startedNanos monotonic time of the reservation
 */
public record Reservation(Instance instance, boolean trial, long startedNanos) {}
