package org.kumquatvane.selection;

/**
 * An instance that may be chosen.
 *
 * @param instance the instance
 * @param slotsInUse slots that this VM uses already
 * @param warm whether its warm-up is over
 */
public record Candidate(Instance instance, int slotsInUse, boolean warm) {}
