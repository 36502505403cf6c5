package org.kumquatvane.distribution;

import java.util.List;
import org.kumquatvane.core.PeerMessage;

/**
 * Items that a VM has read from the source; without items it confirms that nothing has changed. A
 * long list is sent in several parts, which agree in all but their numbers and items.
 *
 * @param complete whether the list holds all items, so that other keys do not exist
 * @param from position after which the list contains all changes
 * @param position position up to which the list contains all changes
 * @param part number of this part, from 0
 * @param parts number of parts, at least 1
 * @param items changed and removed items of this part, as the source has them
 * @param retained items that the sender keeps from before the source returned from a copy, each at
 *     the position of the item of the source that it replaces
 */
public record ItemsReport(
    boolean complete,
    SourcePosition from,
    SourcePosition position,
    int part,
    int parts,
    List<SourceItem> items,
    RetainedItems retained)
    implements PeerMessage {
  /** Copies the list. */
  public ItemsReport {
    items = List.copyOf(items);
  }
}
