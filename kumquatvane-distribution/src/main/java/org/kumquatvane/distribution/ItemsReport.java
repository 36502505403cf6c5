package org.kumquatvane.distribution;

import java.util.List;
import org.kumquatvane.core.PeerMessage;

/**
 * Items that a VM has read from the source; without items it confirms that nothing has changed.
 *
 * @param complete whether the list holds all items, so that other keys do not exist
 * @param fromRevision revision after which the list contains all changes
 * @param revision revision up to which the list contains all changes
 * @param items changed and removed items
 */
public record ItemsReport(
    boolean complete, long fromRevision, long revision, List<SourceItem> items)
    implements PeerMessage {
  /** Copies the list. */
  public ItemsReport {
    items = List.copyOf(items);
  }
}
