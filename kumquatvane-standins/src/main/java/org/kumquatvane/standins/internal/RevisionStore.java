package org.kumquatvane.standins.internal;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongFunction;
import org.jspecify.annotations.Nullable;

/** Values with their earlier revisions, so that delayed and stale values can be served. */
public final class RevisionStore {
  private final Map<String, List<Revision>> revisions = new HashMap<>();
  private final AtomicLong versions;
  private CompletableFuture<Void> change = new CompletableFuture<>();

  /**
   * Creates an empty store.
   *
   * @param versions source of versions, shared by all stores of one platform
   */
  public RevisionStore(AtomicLong versions) {
    this.versions = versions;
  }

  /**
   * Appends a revision and notifies the watches.
   *
   * @param name name of the value
   * @param content returns the bytes for a version
   * @return the new version
   */
  public long put(String name, LongFunction<byte[]> content) {
    long version = versions.incrementAndGet();
    synchronized (this) {
      revisions
          .computeIfAbsent(name, key -> new ArrayList<>())
          .add(new Revision(version, content.apply(version), System.nanoTime()));
    }
    notifyWatches();
    return version;
  }

  /** Makes all waiting watches check for a visible revision again. */
  public void notifyWatches() {
    CompletableFuture<Void> previous;
    synchronized (this) {
      previous = change;
      change = new CompletableFuture<>();
    }
    previous.complete(null);
  }

  /**
   * Returns a future that completes at the next change.
   *
   * @return the future
   */
  public synchronized CompletableFuture<Void> nextChange() {
    return change;
  }

  /**
   * Returns the revision that a reader sees.
   *
   * @param name name of the value
   * @param behind number of newest revisions to leave out
   * @param lagNanos age below which a revision is not visible yet
   * @return the revision, or null if none is visible
   */
  public synchronized @Nullable Revision visibleRevision(String name, int behind, long lagNanos) {
    List<Revision> all = revisions.getOrDefault(name, List.of());
    long now = System.nanoTime();
    int newest = all.size() - 1;
    while (newest > 0 && now - all.get(newest).publishedNanos() < lagNanos) {
      newest--;
    }
    return newest < 0 ? null : all.get(Math.max(0, newest - behind));
  }
}
