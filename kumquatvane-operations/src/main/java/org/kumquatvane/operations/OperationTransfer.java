package org.kumquatvane.operations;

import java.util.List;
import org.kumquatvane.core.PeerMessage;

/**
 * Records that are transferred to their holder under a view.
 *
 * @param round round of the {@link TransferRequest}, or 0 for a transfer before a planned stop
 * @param part number of this part, from 0
 * @param records the records
 */
public record OperationTransfer(long round, int part, List<OperationRecord> records)
    implements PeerMessage {
  /** Copies the list. */
  public OperationTransfer {
    records = List.copyOf(records);
  }
}
