package org.kumquatvane.membership;

import java.time.Duration;
import java.util.List;
import org.kumquatvane.core.SocketEndpoint;

/**
 * Seeds and times of the gossip protocol.
 *
 * @param seeds peer addresses of some VMs, which may be down or replaced
 * @param interval time between two reports of a VM
 * @param silenceTimeout time without a message from a VM after which it is considered down
 * @param retention time for which a VM that is down still counts as possibly running, since it may
 *     only be partitioned from this VM
 */
public record GossipSettings(
    List<SocketEndpoint> seeds, Duration interval, Duration silenceTimeout, Duration retention) {
  /** Copies the list. */
  public GossipSettings {
    seeds = List.copyOf(seeds);
  }

  /**
   * Returns the default times. With one report per second, each with a sample of the members, a
   * heartbeat reaches all VMs of a cell of 50 VMs within about 5 s.
   *
   * @param seeds peer addresses of some VMs
   * @return the settings
   */
  public static GossipSettings of(List<SocketEndpoint> seeds) {
    return new GossipSettings(
        seeds, Duration.ofSeconds(1), Duration.ofSeconds(15), Duration.ofSeconds(30));
  }
}
