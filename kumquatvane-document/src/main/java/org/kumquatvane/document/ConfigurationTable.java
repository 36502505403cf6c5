package org.kumquatvane.document;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.kumquatvane.core.Invariant;
import org.kumquatvane.core.InvariantMonitor;
import org.kumquatvane.core.LockRank;
import org.kumquatvane.core.RankedLock;

/** Holds the document in force. Its generation never decreases while the process runs. */
public final class ConfigurationTable {
  private final RankedLock lock = new RankedLock(LockRank.CONFIGURATION);
  private final List<DocumentListener> listeners;
  private final InvariantMonitor monitor;
  private @Nullable Document inForce;
  private long highestApplied = Long.MIN_VALUE;

  /**
   * Creates a table without a document.
   *
   * @param listeners notified of each document in the given order
   * @param monitor receives invariant violations
   */
  public ConfigurationTable(List<DocumentListener> listeners, InvariantMonitor monitor) {
    this.listeners = new ArrayList<>(listeners);
    this.monitor = monitor;
  }

  /**
   * Offers a valid document from the platform or from a peer.
   *
   * @param offered the document
   * @return the outcome
   */
  public synchronized Acceptance offer(Document offered) {
    Acceptance acceptance = lock.call(() -> decide(offered));
    if (acceptance instanceof Acceptance.Accepted) {
      monitor.check(
          Invariant.GENERATION_NEVER_DECREASES,
          offered.generation() > highestApplied,
          "applied=" + highestApplied + " offered=" + offered.generation());
      highestApplied = offered.generation();
      listeners.forEach(listener -> listener.documentInForce(offered));
    }
    return acceptance;
  }

  private Acceptance decide(Document offered) {
    Document current = inForce;
    if (current == null || offered.generation() > current.generation()) {
      inForce = offered;
      return new Acceptance.Accepted(offered.generation());
    }
    if (offered.generation() < current.generation()) {
      return new Acceptance.Older(offered.generation(), current.generation());
    }
    return offered.digest().equals(current.digest())
        ? new Acceptance.Unchanged(offered.generation())
        : new Acceptance.Conflicting(offered.generation());
  }

  /**
   * Returns the document in force.
   *
   * @return the document, or empty before the first one
   */
  public Optional<Document> current() {
    return lock.call(() -> Optional.ofNullable(inForce));
  }
}
