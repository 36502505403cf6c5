package org.kumquatvane.distribution;

import java.util.Comparator;

/**
 * Order that the writer of an item gives its own values, whatever the revisions of the source. It
 * tells a value of an older copy from one that was written again.
 *
 * @param start start of the writer, or version of the value; the most significant part
 * @param sequence number of the value since the start
 * @param phase phase of the writer, for values without a number
 */
public record WriterOrder(long start, long sequence, long phase)
    implements Comparable<WriterOrder> {
  private static final Comparator<WriterOrder> ORDER =
      Comparator.comparingLong(WriterOrder::start)
          .thenComparingLong(WriterOrder::sequence)
          .thenComparingLong(WriterOrder::phase);

  @Override
  public int compareTo(WriterOrder other) {
    return ORDER.compare(this, other);
  }
}
