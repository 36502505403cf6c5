package org.kumquatvane.operations;

import org.jspecify.annotations.Nullable;
import org.kumquatvane.core.PeerMessage;

/**
 * Says that all records for a holder were sent, and what the sender would have known.
 *
 * @param round round of the {@link TransferRequest}
 * @param parts number of {@link OperationTransfer} messages
 * @param previous the sender's last view before the current one, or null if it held none
 * @param horizonMillis the sender's horizon under the current view
 * @param startedMillis when the sender's process started, milliseconds since the Unix epoch
 */
public record TransferComplete(
    long round, int parts, @Nullable EndedView previous, long horizonMillis, long startedMillis)
    implements PeerMessage {}
