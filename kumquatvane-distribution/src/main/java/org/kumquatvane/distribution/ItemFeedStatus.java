package org.kumquatvane.distribution;

/**
 * How far a VM follows the source.
 *
 * @param position position up to which its items are complete, or {@link SourcePosition#NONE}
 * @param ageMillis age of the newest confirmation that the items are up to date, in milliseconds
 * @param isLost whether the last call to the source failed
 * @param retainedItems number of items that are kept in place of older ones that the source has
 *     after its return from a copy
 */
public record ItemFeedStatus(
    SourcePosition position, long ageMillis, boolean isLost, int retainedItems) {}
