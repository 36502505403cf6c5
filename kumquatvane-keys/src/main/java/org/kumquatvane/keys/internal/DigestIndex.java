package org.kumquatvane.keys.internal;

import java.nio.ByteBuffer;
import java.util.List;
import java.util.Optional;
import org.kumquatvane.core.KeyDigest;
import org.kumquatvane.core.WorkspaceId;
import org.kumquatvane.document.Document;
import org.kumquatvane.document.Workspace;

/**
 * Immutable open-addressing index from digests to workspaces, in primitive arrays.
 *
 * <p>Digests and workspace numbers are dense; only the slots, four bytes each, have gaps. This
 * takes about 41 bytes a key, where a hash map of objects takes several times as much.
 */
public final class DigestIndex {
  /** Index of the time before the first document. */
  public static final DigestIndex EMPTY =
      new DigestIndex(Long.MIN_VALUE, List.of(), new long[0], new int[0], new int[1]);

  private static final int WORDS = KeyDigest.LENGTH_BYTES / Long.BYTES;

  /** Multiplier of Fibonacci hashing; spreads digests whose first bytes were chosen. */
  private static final long SPREAD = 0x9E37_79B9_7F4A_7C15L;

  private final long generation;
  private final List<WorkspaceId> workspaces;
  private final long[] words;
  private final int[] owners;

  /** Number of the key plus 1, or 0 for a free slot; at least one slot in four is free. */
  private final int[] slots;

  private DigestIndex(
      long generation, List<WorkspaceId> workspaces, long[] words, int[] owners, int[] slots) {
    this.generation = generation;
    this.workspaces = workspaces;
    this.words = words;
    this.owners = owners;
    this.slots = slots;
  }

  /**
   * Builds the index of a document.
   *
   * @param document the document, whose digests are unique
   * @return the index
   */
  public static DigestIndex of(Document document) {
    List<Workspace> workspaces = document.workspaces();
    int keys = workspaces.stream().mapToInt(workspace -> workspace.keyDigests().size()).sum();
    DigestIndex index =
        new DigestIndex(
            document.generation(),
            workspaces.stream().map(Workspace::id).toList(),
            new long[keys * WORDS],
            new int[keys],
            new int[Math.addExact(keys, keys / 3 + 1)]);
    int key = 0;
    for (int owner = 0; owner < workspaces.size(); owner++) {
      for (KeyDigest digest : workspaces.get(owner).keyDigests()) {
        index.insert(key++, owner, ByteBuffer.wrap(digest.bytes()));
      }
    }
    return index;
  }

  private void insert(int key, int owner, ByteBuffer digest) {
    for (int i = 0; i < WORDS; i++) {
      words[key * WORDS + i] = digest.getLong(i * Long.BYTES);
    }
    owners[key] = owner;
    int slot = home(digest);
    while (slots[slot] != 0) {
      slot = next(slot);
    }
    slots[slot] = key + 1;
  }

  /**
   * Looks a digest up.
   *
   * @param digest the digest
   * @return the workspace that it is granted to, or empty
   */
  public Optional<WorkspaceId> find(KeyDigest digest) {
    ByteBuffer wanted = ByteBuffer.wrap(digest.bytes());
    for (int slot = home(wanted); slots[slot] != 0; slot = next(slot)) {
      int key = slots[slot] - 1;
      if (matches(key, wanted)) {
        return Optional.of(workspaces.get(owners[key]));
      }
    }
    return Optional.empty();
  }

  /** Compares all words in every case, so that response times reveal nothing about a digest. */
  private boolean matches(int key, ByteBuffer wanted) {
    long difference = 0;
    for (int i = 0; i < WORDS; i++) {
      difference |= words[key * WORDS + i] ^ wanted.getLong(i * Long.BYTES);
    }
    return difference == 0;
  }

  private int home(ByteBuffer digest) {
    long spread = digest.getLong(0) * SPREAD;
    return (int) (((spread >>> 32) * slots.length) >>> 32);
  }

  private int next(int slot) {
    return slot + 1 == slots.length ? 0 : slot + 1;
  }

  /**
   * Returns the generation of the document.
   *
   * @return the generation, or {@link Long#MIN_VALUE} before the first document
   */
  public long generation() {
    return generation;
  }

  /**
   * Returns the number of keys.
   *
   * @return the number
   */
  public int size() {
    return owners.length;
  }

  /**
   * Returns the size of the arrays that grow with the number of keys.
   *
   * @return bytes without object headers
   */
  public long sizeBytes() {
    return (long) words.length * Long.BYTES + (long) (owners.length + slots.length) * Integer.BYTES;
  }
}
