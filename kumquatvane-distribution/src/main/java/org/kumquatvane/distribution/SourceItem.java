package org.kumquatvane.distribution;

import java.util.Optional;

/**
 * A key and its value in the configuration source.
 *
 * @param key the key
 * @param value bytes of the value; empty if the key was removed
 * @param revision revision of the source at the last change of the key
 */
public record SourceItem(String key, Optional<byte[]> value, long revision) {
  /** Heap of an item without the characters of its key and the bytes of its value. */
  private static final int FIXED_BYTES = 160;

  private static final byte[] UNUSABLE = new byte[0];

  /**
   * Creates an item whose value cannot be used. It has a value, so that a change to such a value is
   * not taken for no change.
   *
   * @param key the key
   * @param revision revision of the source at the last change of the key
   * @return the item
   */
  public static SourceItem unusable(String key, long revision) {
    return new SourceItem(key, Optional.of(UNUSABLE), revision);
  }

  /**
   * Returns whether the item has a value that can be used; an empty value never can.
   *
   * @return whether it is present and usable
   */
  public boolean isUsable() {
    return value.isPresent() && value.get().length > 0;
  }

  /**
   * Returns the item as an item that names nothing, if its value cannot be used.
   *
   * @return this item, or its removal at the same revision
   */
  public SourceItem orRemoval() {
    return value.isEmpty() || isUsable() ? this : new SourceItem(key, Optional.empty(), revision);
  }

  /**
   * Returns the memory that the item takes.
   *
   * @return approximate heap size in bytes
   */
  public int sizeBytes() {
    return FIXED_BYTES + key.length() + value.map(bytes -> bytes.length).orElse(0);
  }
}
