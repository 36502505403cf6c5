package org.kumquatvane.distribution;

import java.util.List;

/**
 * Items that a VM keeps in place of older ones that the source has after its return from a copy.
 *
 * @param items the items, each at the position of the item of the source that it replaces
 * @param remainingMillis time until the items of the source are used, in milliseconds
 */
public record RetainedItems(List<SourceItem> items, long remainingMillis) {
  /** No items. */
  public static final RetainedItems NONE = new RetainedItems(List.of(), 0);

  /** Copies the list. */
  public RetainedItems {
    items = List.copyOf(items);
  }
}
