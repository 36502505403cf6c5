package org.kumquatvane.distribution;

import java.time.Duration;
import java.util.function.Consumer;

/** The configuration source, which can only be read. Both calls return at once. */
public interface ItemSource {
  /**
   * Reads all items.
   *
   * @param answer receives exactly one answer
   */
  void readEverything(Consumer<SourceAnswer> answer);

  /**
   * Waits for changes.
   *
   * @param afterRevision revision up to which the reader knows the changes
   * @param longestWait time after which the source answers without a change
   * @param answer receives exactly one answer
   */
  void watch(long afterRevision, Duration longestWait, Consumer<SourceAnswer> answer);
}
