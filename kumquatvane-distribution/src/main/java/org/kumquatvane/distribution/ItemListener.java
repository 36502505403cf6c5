package org.kumquatvane.distribution;

import java.util.List;

/** Learns of items; called in the order of revisions, outside all locks. */
@FunctionalInterface
public interface ItemListener {
  /**
   * Applies changes.
   *
   * @param changed new, changed and removed items
   * @param sourceRecovered whether the source has just come back, so that entries that lapsed
   *     meanwhile may return
   */
  void itemsChanged(List<SourceItem> changed, boolean sourceRecovered);
}
