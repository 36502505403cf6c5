package org.kumquatvane.operations;

import org.kumquatvane.core.PeerMessage;

/**
 * Requests from a member of a new view the records that the sender holds under it; sent again until
 * the transfer is complete.
 *
 * @param viewDigest the new view
 * @param round identifies the transfer, so that messages of an earlier one under the same view are
 *     ignored
 */
public record TransferRequest(long viewDigest, long round) implements PeerMessage {}
