package org.kumquatvane.peering;

import java.time.Duration;
import org.kumquatvane.core.SocketEndpoint;

/**
 * Limits and times of the connections between VMs.
 *
 * @param listen where this VM listens for other VMs
 * @param sendBufferBytes most bytes that wait for one peer; further messages are dropped
 * @param receivedMessageCapacity most received messages of one peer that wait for a worker
 * @param maximumIncomingConnections most connections that other VMs may have open
 * @param handshakeTimeout time for connecting and for the mutual challenge
 * @param acknowledgementTimeout a connection is replaced if the peer acknowledged nothing for this
 *     long after data was written
 * @param acknowledgementInterval longest time after which received messages are acknowledged
 * @param minimumBackoff wait before the first reconnect
 * @param maximumBackoff longest wait before a reconnect
 */
public record PeerNetworkSettings(
    SocketEndpoint listen,
    int sendBufferBytes,
    int receivedMessageCapacity,
    int maximumIncomingConnections,
    Duration handshakeTimeout,
    Duration acknowledgementTimeout,
    Duration acknowledgementInterval,
    Duration minimumBackoff,
    Duration maximumBackoff) {
  /**
   * Returns the defaults.
   *
   * <p>The acknowledgement timeout is shorter than the 3 s of silence after which membership counts
   * a link as broken, so that a connection whose state a device has lost is replaced first. The
   * send buffer holds one document of the largest size and the messages sent meanwhile.
   *
   * @param listen where this VM listens
   * @return the settings
   */
  public static PeerNetworkSettings defaults(SocketEndpoint listen) {
    return new PeerNetworkSettings(
        listen,
        2 << 20,
        1_024,
        256,
        Duration.ofSeconds(2),
        Duration.ofMillis(1_500),
        Duration.ofMillis(250),
        Duration.ofMillis(100),
        Duration.ofSeconds(2));
  }

  /**
   * Returns the times for a mesh of many small VMs: an acknowledgement costs a wake-up at both
   * ends, so they come less often. A silent connection is still replaced within 2.5 s.
   *
   * @param listen where this VM listens
   * @return the settings
   */
  public static PeerNetworkSettings forDenseMesh(SocketEndpoint listen) {
    PeerNetworkSettings defaults = defaults(listen);
    return new PeerNetworkSettings(
        listen,
        defaults.sendBufferBytes(),
        defaults.receivedMessageCapacity(),
        defaults.maximumIncomingConnections(),
        defaults.handshakeTimeout(),
        Duration.ofMillis(2_500),
        Duration.ofMillis(1_000),
        defaults.minimumBackoff(),
        defaults.maximumBackoff());
  }
}
