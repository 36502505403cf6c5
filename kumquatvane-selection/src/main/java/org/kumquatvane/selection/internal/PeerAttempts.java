package org.kumquatvane.selection.internal;

import java.util.List;
import org.kumquatvane.core.Deadline;

/**
 * Attempts of another VM at one instance.
 *
 * @param startedNanos when they started, on this VM's clock
 * @param validUntil when they are dropped unless the other VM repeats them
 */
record PeerAttempts(List<Long> startedNanos, Deadline validUntil) {
  /** Copies the list. */
  PeerAttempts {
    startedNanos = List.copyOf(startedNanos);
  }
}
