package org.kumquatvane.distribution;

import java.util.List;
import org.kumquatvane.core.KeyDigest;
import org.kumquatvane.core.PeerMessage;

/**
 * Withdraws keys before the document that omits them arrives.
 *
 * @param generation generation of that document
 * @param digests digests of the keys, at most {@link #MAXIMUM_DIGESTS}
 */
public record KeyWithdrawal(long generation, List<KeyDigest> digests) implements PeerMessage {
  /** Maximum number of digests in one message, about 34 KB. */
  public static final int MAXIMUM_DIGESTS = 1_000;

  /** Copies the list. */
  public KeyWithdrawal {
    digests = List.copyOf(digests);
  }
}
