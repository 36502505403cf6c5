package org.kumquatvane.distribution;

import java.time.Duration;

/**
 * Settings of an {@link ItemFeed}.
 *
 * @param readerCount number of VMs in a failure domain that watch the source continuously; the next
 *     ones in rank take over when they have had no confirmation for the stale time
 * @param maximumWait longest wait of a watch, which bounds the time until a reader detects that its
 *     connection to the source no longer delivers responses
 * @param staleAfter time without a confirmation after which a VM watches the source itself
 * @param takeoverStagger additional time per rank, so that a few VMs and not all at once replace a
 *     failed reader
 * @param changePause pause after a change, so that a burst of changes takes few calls
 * @param retryDelay delay after a failed call
 * @param recoveryWindow time after recovery of the source during which expired entries may be
 *     restored
 * @param retentionTime time after the source's return from a copy for which newer items from before
 *     are kept; entries of instances that have ended expire at the source within three heartbeats
 * @param maximumItemBytes size of all items beyond which further ones are left out, in bytes
 */
public record ItemFeedSettings(
    int readerCount,
    Duration maximumWait,
    Duration staleAfter,
    Duration takeoverStagger,
    Duration changePause,
    Duration retryDelay,
    Duration recoveryWindow,
    Duration retentionTime,
    int maximumItemBytes) {
  /** Entries of instances take about 0.5 KB each, a configuration up to 1 MB. */
  private static final int MAXIMUM_ITEM_BYTES = 6 << 20;

  /**
   * Settings for a propagation limit of 2 s: an unresponsive reader is detected and replaced within
   * 1.3 s.
   */
  public static final ItemFeedSettings STANDARD =
      new ItemFeedSettings(
          1,
          Duration.ofMillis(800),
          Duration.ofMillis(1_100),
          Duration.ofMillis(60),
          Duration.ofMillis(200),
          Duration.ofMillis(300),
          Duration.ofSeconds(2),
          Duration.ofSeconds(6),
          MAXIMUM_ITEM_BYTES);
}
