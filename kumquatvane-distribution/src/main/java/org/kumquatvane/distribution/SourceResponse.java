package org.kumquatvane.distribution;

import java.util.List;

/** Answer of the configuration source. */
public sealed interface SourceResponse {
  /**
   * All items.
   *
   * @param items the items
   * @param revision revision from which changes are to be watched
   */
  record Snapshot(List<SourceItem> items, long revision) implements SourceResponse {}

  /**
   * Some of all items, while the others are still being read.
   *
   * @param items the items
   */
  record PartialSnapshot(List<SourceItem> items) implements SourceResponse {}

  /**
   * What has changed.
   *
   * @param items changed and removed items; none if the wait ended without a change
   * @param revision revision up to which the changes are complete
   */
  record Changes(List<SourceItem> items, long revision) implements SourceResponse {}

  /** The source no longer has the changes; everything must be read again. */
  record HistoryLost() implements SourceResponse {}

  /**
   * The source cannot be reached or does not serve this VM.
   *
   * @param detail what was seen
   */
  record Unavailable(String detail) implements SourceResponse {}
}
