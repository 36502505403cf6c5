package org.kumquatvane.distribution;

import java.util.Optional;

/**
 * Decides what is kept of an item's value. Other writers may put any bytes under any key, so only
 * what a consumer can use is kept in memory and sent to other VMs.
 */
public interface ItemRules {
  /** Keeps every value as it is. */
  ItemRules KEEP_ALL =
      new ItemRules() {
        @Override
        public Optional<byte[]> reduce(String key, byte[] value) {
          return Optional.of(value);
        }

        @Override
        public boolean isEssential(String key) {
          return false;
        }

        @Override
        public Optional<WriterOrder> writerOrder(String key, byte[] value) {
          return Optional.empty();
        }
      };

  /**
   * Reduces a value to what is used of it. Reducing a reduced value changes nothing.
   *
   * @param key key of the item
   * @param value the value as it was written
   * @return the bytes to keep, or empty if the value cannot be used
   */
  Optional<byte[]> reduce(String key, byte[] value);

  /**
   * Returns whether the item is kept even if there is no room for further ones, and is never
   * replaced by a value that its writer wrote earlier.
   *
   * @param key key of the item
   * @return whether it is essential
   */
  boolean isEssential(String key);

  /**
   * Returns the place of a value among those of its writer.
   *
   * @param key key of the item
   * @param value the reduced value
   * @return the place, or empty if the value does not tell it
   */
  Optional<WriterOrder> writerOrder(String key, byte[] value);
}
