package org.kumquatvane.distribution.internal;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.kumquatvane.distribution.ContentDigest;
import org.kumquatvane.distribution.DocumentFragment;

/**
 * Content-addressed store of the document in force, its fragments and the received content of the
 * next document. Fragments that two generations share are transferred once. Guarded by the
 * distribution lock.
 */
public final class ContentStore {
  private final Map<ContentDigest, byte[]> contents = new HashMap<>();

  /**
   * Adds content.
   *
   * @param digest its digest, checked by the caller
   * @param bytes its bytes
   */
  public void put(ContentDigest digest, byte[] bytes) {
    contents.put(digest, bytes);
  }

  /**
   * Returns content.
   *
   * @param digest its digest
   * @return its bytes, or empty
   */
  public Optional<byte[]> get(ContentDigest digest) {
    return Optional.ofNullable(contents.get(digest));
  }

  /**
   * Returns the fragments that are not in the store.
   *
   * @param fragments the fragments of a document
   * @return the missing fragments
   */
  public List<DocumentFragment> missing(List<DocumentFragment> fragments) {
    return fragments.stream().filter(part -> !contents.containsKey(part.digest())).toList();
  }

  /**
   * Removes all content except that of one document.
   *
   * @param main digest of its main bytes
   * @param fragments its fragments
   */
  public void retain(ContentDigest main, List<DocumentFragment> fragments) {
    Set<ContentDigest> kept = new HashSet<>();
    kept.add(main);
    fragments.forEach(part -> kept.add(part.digest()));
    contents.keySet().retainAll(kept);
  }

  /**
   * Returns the size of all content.
   *
   * @return size in bytes
   */
  public long sizeBytes() {
    return contents.values().stream().mapToLong(bytes -> bytes.length).sum();
  }
}
