package org.kumquatvane.distribution;

import java.util.List;

/** Answer of the configuration source. */
public sealed interface SourceAnswer {
  /**
   * All items.
   *
   * @param items the items
   * @param revision revision from which changes are to be watched
   */
  record Everything(List<SourceItem> items, long revision) implements SourceAnswer {}

  /**
   * Some of all items, while the others are still being read.
   *
   * @param items the items
   */
  record Part(List<SourceItem> items) implements SourceAnswer {}

  /**
   * What has changed.
   *
   * @param items changed and removed items; none if the wait ended without a change
   * @param revision revision up to which the changes are complete
   */
  record Changes(List<SourceItem> items, long revision) implements SourceAnswer {}

  /** The source no longer has the changes; everything must be read again. */
  record HistoryLost() implements SourceAnswer {}

  /**
   * The source cannot be reached or does not serve this VM.
   *
   * @param detail what was seen
   */
  record Unavailable(String detail) implements SourceAnswer {}
}
