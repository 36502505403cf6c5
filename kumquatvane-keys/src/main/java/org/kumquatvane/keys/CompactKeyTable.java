package org.kumquatvane.keys;

import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import org.jspecify.annotations.Nullable;
import org.kumquatvane.core.KeyDigest;
import org.kumquatvane.core.LockRank;
import org.kumquatvane.core.RankedLock;
import org.kumquatvane.core.WorkspaceId;
import org.kumquatvane.document.Document;
import org.kumquatvane.document.DocumentListener;
import org.kumquatvane.keys.internal.DigestIndex;

/**
 * Key table of the document in force, combined with withdrawals that the document does not reflect
 * yet.
 *
 * <p>A withdrawal takes precedence over every document of a lower generation and lapses when a
 * document of the same or a higher generation comes into force. Lookups do not acquire the lock.
 */
public final class CompactKeyTable implements KeyTable, DocumentListener {
  private final RankedLock lock = new RankedLock(LockRank.KEYS);
  private final ConcurrentMap<KeyDigest, Long> withdrawals = new ConcurrentHashMap<>();
  private volatile DigestIndex index = DigestIndex.EMPTY;

  @Override
  public void documentInForce(Document document) {
    // Built outside the lock, since indexing a million keys can take most of a second.
    DigestIndex built = DigestIndex.of(document);
    lock.run(
        () -> {
          if (built.generation() > index.generation()) {
            // The index is replaced before lapsed withdrawals are removed; find() reads in reverse
            // order.
            index = built;
            withdrawals.values().removeIf(generation -> generation <= built.generation());
          }
        });
  }

  @Override
  public Optional<WorkspaceId> find(KeyDigest digest) {
    // The withdrawal is read first. If it was removed concurrently, the index read next is at
    // least as new as the document that superseded it, so a withdrawn key is never found in an
    // older index.
    @Nullable Long withdrawalGeneration = withdrawals.get(digest);
    DigestIndex current = index;
    return withdrawalGeneration != null && withdrawalGeneration > current.generation()
        ? Optional.empty()
        : current.find(digest);
  }

  @Override
  public void withdraw(KeyDigest digest, long generation) {
    lock.run(
        () -> {
          if (generation > index.generation()) {
            withdrawals.merge(digest, generation, Math::max);
          }
        });
  }

  /**
   * Returns the number of withdrawals that have not lapsed.
   *
   * @return the number
   */
  public int pendingWithdrawals() {
    return withdrawals.size();
  }

  /**
   * Returns the number of keys that the document in force grants.
   *
   * @return the number
   */
  public int size() {
    return index.size();
  }

  /**
   * Returns the size of the arrays that grow with the number of keys.
   *
   * @return bytes without object headers
   */
  public long sizeBytes() {
    return index.sizeBytes();
  }
}
