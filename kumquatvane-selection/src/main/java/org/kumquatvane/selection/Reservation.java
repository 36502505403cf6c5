package org.kumquatvane.selection;

/**
 * A slot of an instance, held for one attempt.
 *
 * @param instance the instance
 * @param trial whether the attempt is a trial of an ejected instance
 */
public record Reservation(Instance instance, boolean trial) {}
