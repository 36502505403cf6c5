package org.kumquatvane.operations;

import org.jspecify.annotations.Nullable;
import org.kumquatvane.core.PeerMessage;

/**
 * Signals that all records for a holder have been sent, and since when the sender knows of every
 * run.
 *
 * @param round round of the {@link TransferRequest}
 * @param parts number of {@link OperationTransfer} messages
 * @param previous the sender's last view before the current one, or null if it held none
 * @param horizonMillis horizon of the sender under the current view
 * @param startedMillis start time of the sender's process, milliseconds since the Unix epoch
 */
public record TransferComplete(
    long round, int parts, @Nullable EndedView previous, long horizonMillis, long startedMillis)
    implements PeerMessage {}
