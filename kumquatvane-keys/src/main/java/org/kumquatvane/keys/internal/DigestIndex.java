package org.kumquatvane.keys.internal;

import java.nio.ByteBuffer;
import java.util.List;
import java.util.Optional;
import org.kumquatvane.core.KeyDigest;
import org.kumquatvane.core.WorkspaceId;
import org.kumquatvane.document.Document;
import org.kumquatvane.document.Workspace;

/**
 * Immutable open-addressing hash table from digests to workspaces, stored in primitive arrays.
 *
 * <p>Digests and workspace indexes are stored densely; only the four-byte slots include free
 * entries. This takes about 41 bytes per key; a hash map of objects takes several times as much.
 */
public final class DigestIndex {
  /** Empty index, used before the first document is in force. */
  public static final DigestIndex EMPTY =
      new DigestIndex(Long.MIN_VALUE, List.of(), new long[0], new int[0], new int[1]);

  private static final int WORDS_PER_DIGEST = KeyDigest.LENGTH_BYTES / Long.BYTES;

  /** Multiplier of Fibonacci hashing, which also distributes digests with chosen first bytes. */
  private static final long FIBONACCI_MULTIPLIER = 0x9E37_79B9_7F4A_7C15L;

  private final long generation;
  private final List<WorkspaceId> workspaces;
  private final long[] words;
  private final int[] workspaceIndexes;

  /** Index of the key plus 1, or 0 for a free slot; at least one slot in four is free. */
  private final int[] slots;

  private DigestIndex(
      long generation,
      List<WorkspaceId> workspaces,
      long[] words,
      int[] workspaceIndexes,
      int[] slots) {
    this.generation = generation;
    this.workspaces = workspaces;
    this.words = words;
    this.workspaceIndexes = workspaceIndexes;
    this.slots = slots;
  }

  /**
   * Builds the index of a document.
   *
   * @param document the document; its digests must be unique
   * @return the index
   */
  public static DigestIndex of(Document document) {
    List<Workspace> workspaces = document.workspaces();
    int keys = workspaces.stream().mapToInt(workspace -> workspace.keyDigests().size()).sum();
    DigestIndex index =
        new DigestIndex(
            document.generation(),
            workspaces.stream().map(Workspace::id).toList(),
            new long[keys * WORDS_PER_DIGEST],
            new int[keys],
            new int[Math.addExact(keys, keys / 3 + 1)]);
    int keyIndex = 0;
    for (int workspaceIndex = 0; workspaceIndex < workspaces.size(); workspaceIndex++) {
      for (KeyDigest digest : workspaces.get(workspaceIndex).keyDigests()) {
        index.insert(keyIndex++, workspaceIndex, ByteBuffer.wrap(digest.bytes()));
      }
    }
    return index;
  }

  private void insert(int keyIndex, int workspaceIndex, ByteBuffer digest) {
    for (int i = 0; i < WORDS_PER_DIGEST; i++) {
      words[keyIndex * WORDS_PER_DIGEST + i] = digest.getLong(i * Long.BYTES);
    }
    workspaceIndexes[keyIndex] = workspaceIndex;
    int slot = initialSlot(digest);
    while (slots[slot] != 0) {
      slot = nextSlot(slot);
    }
    slots[slot] = keyIndex + 1;
  }

  /**
   * Looks up a digest.
   *
   * @param digest the digest
   * @return the workspace that the key belongs to, or empty
   */
  public Optional<WorkspaceId> find(KeyDigest digest) {
    ByteBuffer digestBytes = ByteBuffer.wrap(digest.bytes());
    for (int slot = initialSlot(digestBytes); slots[slot] != 0; slot = nextSlot(slot)) {
      int keyIndex = slots[slot] - 1;
      if (matches(keyIndex, digestBytes)) {
        return Optional.of(workspaces.get(workspaceIndexes[keyIndex]));
      }
    }
    return Optional.empty();
  }

  /** Compares in constant time, so that response times reveal nothing about stored digests. */
  private boolean matches(int keyIndex, ByteBuffer digest) {
    long difference = 0;
    for (int i = 0; i < WORDS_PER_DIGEST; i++) {
      difference |= words[keyIndex * WORDS_PER_DIGEST + i] ^ digest.getLong(i * Long.BYTES);
    }
    return difference == 0;
  }

  private int initialSlot(ByteBuffer digest) {
    long hash = digest.getLong(0) * FIBONACCI_MULTIPLIER;
    return (int) (((hash >>> 32) * slots.length) >>> 32);
  }

  private int nextSlot(int slot) {
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
    return workspaceIndexes.length;
  }

  /**
   * Returns the size of the arrays that grow with the number of keys.
   *
   * @return bytes without object headers
   */
  public long sizeBytes() {
    return (long) words.length * Long.BYTES
        + (long) (workspaceIndexes.length + slots.length) * Integer.BYTES;
  }
}
