package org.kumquatvane.distribution;

import java.util.List;

/** Receives item changes in the order of their positions. Called without any lock. */
@FunctionalInterface
public interface ItemListener {
  /**
   * Applies changes.
   *
   * @param changed new, changed and removed items
   * @param sourceRecovered whether the source has just recovered, so that entries that expired
   *     during its outage may be restored
   */
  void itemsChanged(List<SourceItem> changed, boolean sourceRecovered);
}
