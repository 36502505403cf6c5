package org.kumquatvane.peering.internal;

import org.kumquatvane.core.Counters;

/** Counts messages and bytes between VMs by kind and direction. */
public final class TrafficCounters {
  private final Counters counters;

  /**
   * Creates the counters.
   *
   * @param counters where they are kept
   */
  public TrafficCounters(Counters counters) {
    this.counters = counters;
  }

  /**
   * Counts a sent message.
   *
   * @param kind its type
   * @param bytes size of the frame
   */
  public void sent(String kind, int bytes) {
    counters.add("peer.sent.messages." + kind, 1);
    counters.add("peer.sent.bytes." + kind, bytes);
  }

  /**
   * Counts a received message.
   *
   * @param kind its type
   * @param bytes size of the frame
   */
  public void received(String kind, int bytes) {
    counters.add("peer.received.messages." + kind, 1);
    counters.add("peer.received.bytes." + kind, bytes);
  }

  /**
   * Counts a message that was not sent or not handled.
   *
   * @param cause why
   * @param messages how many
   */
  public void dropped(String cause, long messages) {
    counters.add("peer.dropped." + cause, messages);
  }
}
