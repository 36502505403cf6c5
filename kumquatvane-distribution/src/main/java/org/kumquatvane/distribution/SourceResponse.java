package org.kumquatvane.distribution;

import java.util.List;

/**
 * Response of the configuration source. Its positions have {@link SourcePosition#UNKNOWN_ERA} if
 * the source does not tell its era.
 */
public sealed interface SourceResponse {
  /**
   * All items.
   *
   * @param items the items
   * @param position position after which to watch for changes
   */
  record Snapshot(List<SourceItem> items, SourcePosition position) implements SourceResponse {}

  /**
   * Some of the items of a read that is still in progress.
   *
   * @param items the items
   */
  record PartialSnapshot(List<SourceItem> items) implements SourceResponse {}

  /**
   * Changes since the requested position.
   *
   * @param items changed and removed items; empty if the wait ended without a change
   * @param position position up to which the changes are complete
   */
  record Changes(List<SourceItem> items, SourcePosition position) implements SourceResponse {}

  /**
   * The source does not hold the requested changes; all items must be read again.
   *
   * @param era era of the source, or {@link SourcePosition#UNKNOWN_ERA}
   */
  record HistoryLost(long era) implements SourceResponse {}

  /**
   * The source sent changes that cannot be decoded. The same request would fail again, so all items
   * must be read.
   *
   * @param detail description of the failure
   */
  record Unreadable(String detail) implements SourceResponse {}

  /**
   * The source is unreachable or returned no usable response.
   *
   * @param detail description of the failure
   * @param hasBegun whether a part of a response has arrived
   */
  record Unavailable(String detail, boolean hasBegun) implements SourceResponse {
    /**
     * Creates a response for a call of which no part of a response has arrived.
     *
     * @param detail description of the failure
     */
    public Unavailable(String detail) {
      this(detail, false);
    }
  }
}
