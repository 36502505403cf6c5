package org.kumquatvane.peering.internal;

import org.kumquatvane.core.Counters;

/** Counts messages and bytes between VMs by message type and direction. */
public final class TrafficCounters {
  private final Counters counters;

  /**
   * Creates the counters.
   *
   * @param counters receives the counts
   */
  public TrafficCounters(Counters counters) {
    this.counters = counters;
  }

  /**
   * Counts a sent message.
   *
   * @param metricLabel label of the message type
   * @param bytes size of the frame
   */
  public void recordSent(String metricLabel, int bytes) {
    counters.add("peer.sent.messages." + metricLabel, 1);
    counters.add("peer.sent.bytes." + metricLabel, bytes);
  }

  /**
   * Counts a received message.
   *
   * @param metricLabel label of the message type
   * @param bytes size of the frame
   */
  public void recordReceived(String metricLabel, int bytes) {
    counters.add("peer.received.messages." + metricLabel, 1);
    counters.add("peer.received.bytes." + metricLabel, bytes);
  }

  /**
   * Counts messages or connections that were dropped.
   *
   * @param cause reason, used in the metric name
   * @param messages number to add
   */
  public void recordDropped(String cause, long messages) {
    counters.add("peer.dropped." + cause, messages);
  }
}
