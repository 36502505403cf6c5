package org.kumquatvane.membership;

import java.time.Duration;
import java.util.List;
import org.kumquatvane.core.SocketEndpoint;

/**
 * Times of the gossip.
 *
 * @param seeds peer addresses of some VMs, which may be down or replaced
 * @param interval time between two reports of a VM
 * @param silenceTimeout time without a sign of life after which a VM counts as down
 * @param retention time for which a VM that is down still counts as a part of the fleet that may
 *     only be cut off
 */
public record GossipSettings(
    List<SocketEndpoint> seeds, Duration interval, Duration silenceTimeout, Duration retention) {
  /** Copies the list. */
  public GossipSettings {
    seeds = List.copyOf(seeds);
  }

  /**
   * Returns the usual times: with a report a second and a sample of the members in each, a
   * heartbeat reaches a cell of fifty VMs within about 5 s.
   *
   * @param seeds peer addresses of some VMs
   * @return the settings
   */
  public static GossipSettings of(List<SocketEndpoint> seeds) {
    return new GossipSettings(
        seeds, Duration.ofSeconds(1), Duration.ofSeconds(15), Duration.ofSeconds(30));
  }
}
