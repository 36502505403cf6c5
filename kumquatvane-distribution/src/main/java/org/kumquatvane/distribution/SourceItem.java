package org.kumquatvane.distribution;

import java.util.Arrays;
import java.util.Optional;

/**
 * A key and its value in the configuration source.
 *
 * @param key the key
 * @param value bytes of the value; empty if the key was removed
 * @param position position of the source at the last change of the key
 */
public record SourceItem(String key, Optional<byte[]> value, SourcePosition position) {
  /** Heap of an item without the characters of its key and the bytes of its value. */
  private static final int FIXED_BYTES = 160;

  private static final byte[] UNUSABLE = new byte[0];
  private static final byte[] ABSENT = new byte[0];

  /**
   * Creates an item whose value cannot be used. It has a value, so that a change to such a value is
   * not taken for no change.
   *
   * @param key the key
   * @param position position of the source at the last change of the key
   * @return the item
   */
  public static SourceItem unusable(String key, SourcePosition position) {
    return new SourceItem(key, Optional.of(UNUSABLE), position);
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
   * @return this item, or its removal at the same position
   */
  public SourceItem orRemoval() {
    return value.isEmpty() || isUsable() ? this : new SourceItem(key, Optional.empty(), position);
  }

  /**
   * Returns the same value at another position.
   *
   * @param otherPosition the position
   * @return the item
   */
  public SourceItem at(SourcePosition otherPosition) {
    return new SourceItem(key, value, otherPosition);
  }

  /**
   * Returns whether another item has the same key and value, or is removed too.
   *
   * @param other the other item
   * @return whether they differ in their positions at most
   */
  public boolean hasSameValue(SourceItem other) {
    return key.equals(other.key)
        && Arrays.equals(value.orElse(ABSENT), other.value.orElse(ABSENT))
        && value.isPresent() == other.value.isPresent();
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
