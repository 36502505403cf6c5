package org.kumquatvane.distribution;

import java.time.Duration;

/**
 * Times of the feed of items.
 *
 * @param readerCount VMs of a failure domain that watch the source all the time; the next ones take
 *     over once they have had no confirmation for the stale time
 * @param maximumWait longest wait of a watch, and so the time after which a reader notices that its
 *     path to the source is silent
 * @param staleAfter time without a confirmed state after which a VM reads for itself
 * @param takeoverStagger further time for each place in the order of readers, so that a lost reader
 *     is replaced by a few VMs and not by all at once
 * @param changePause pause after a change, so that a series of changes takes few calls
 * @param retryDelay pause after a failed call
 * @param recoveryWindow time after the return of the source within which lapsed entries come back
 */
public record ItemFeedSettings(
    int readerCount,
    Duration maximumWait,
    Duration staleAfter,
    Duration takeoverStagger,
    Duration changePause,
    Duration retryDelay,
    Duration recoveryWindow) {
  /**
   * Times for changes that must be in force everywhere within 2 s: a silent reader is noticed and
   * replaced within 1.3 s.
   */
  public static final ItemFeedSettings STANDARD =
      new ItemFeedSettings(
          1,
          Duration.ofMillis(800),
          Duration.ofMillis(1_100),
          Duration.ofMillis(60),
          Duration.ofMillis(200),
          Duration.ofMillis(300),
          Duration.ofSeconds(2));
}
