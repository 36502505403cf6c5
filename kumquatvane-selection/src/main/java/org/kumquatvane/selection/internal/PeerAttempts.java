package org.kumquatvane.selection.internal;

import java.util.List;
import org.kumquatvane.core.Deadline;

/**
 * Attempts in flight of another VM at one instance.
 *
 * @param startedNanos when they started, on this VM's clock
 * @param validUntil when they expire unless the other VM reports them again
 */
record PeerAttempts(List<Long> startedNanos, Deadline validUntil) {
  /** Copies the list. */
  PeerAttempts {
    startedNanos = List.copyOf(startedNanos);
  }
}
