package org.kumquatvane.operations;

import org.kumquatvane.core.PeerMessage;

/**
 * Asks a member of a new view for the records that the sender holds under it; sent again until the
 * answer is complete.
 *
 * @param viewDigest the new view
 * @param round names the answer, so that one from an earlier time under the same view is ignored
 */
public record TransferRequest(long viewDigest, long round) implements PeerMessage {}
