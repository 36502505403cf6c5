package org.kumquatvane.peering;

import java.time.Duration;
import org.kumquatvane.core.SocketEndpoint;

/**
 * Limits and timeouts of the connections between VMs.
 *
 * @param listen address on which this VM accepts connections of other VMs
 * @param sendBufferBytes maximum bytes queued for one peer; further messages are dropped
 * @param totalSendBufferBytes maximum bytes queued for all peers, where a message to several peers
 *     counts once; further messages are dropped
 * @param receivedMessageCapacity maximum received messages of one peer queued for a worker; further
 *     messages are dropped
 * @param totalReceivedBytes maximum bytes of the messages of all peers that are queued for a
 *     worker, and of large ones that are being received; further messages are dropped
 * @param maximumIncomingConnections maximum connections accepted from other VMs
 * @param handshakeTimeout time limit for connecting and the mutual authentication
 * @param acknowledgementTimeout time without an acknowledgement after data was written, after which
 *     the connection is replaced
 * @param acknowledgementInterval maximum delay before received messages are acknowledged
 * @param minimumBackoff delay before the first reconnect
 * @param maximumBackoff maximum delay before a reconnect
 */
public record PeerNetworkSettings(
    SocketEndpoint listen,
    int sendBufferBytes,
    long totalSendBufferBytes,
    int receivedMessageCapacity,
    long totalReceivedBytes,
    int maximumIncomingConnections,
    Duration handshakeTimeout,
    Duration acknowledgementTimeout,
    Duration acknowledgementInterval,
    Duration minimumBackoff,
    Duration maximumBackoff) {
  private static final long TOTAL_SEND_BUFFER_BYTES = 4L << 20;
  private static final long TOTAL_RECEIVED_BYTES = 4L << 20;

  /**
   * Returns the default settings.
   *
   * <p>The acknowledgement timeout is shorter than the 3 s after which membership considers a link
   * broken, so that a connection whose state was lost by a network device is replaced first. The
   * send buffer holds one document of maximum size and the messages sent in the meantime.
   *
   * @param listen address on which this VM listens
   * @return the settings
   */
  public static PeerNetworkSettings defaults(SocketEndpoint listen) {
    return new PeerNetworkSettings(
        listen,
        2 << 20,
        TOTAL_SEND_BUFFER_BYTES,
        1_024,
        TOTAL_RECEIVED_BYTES,
        256,
        Duration.ofSeconds(2),
        Duration.ofMillis(1_500),
        Duration.ofMillis(250),
        Duration.ofMillis(100),
        Duration.ofSeconds(2));
  }

  /**
   * Returns settings for a mesh of many small VMs. Each acknowledgement wakes the I/O threads of
   * both VMs, so acknowledgements are sent less often; a connection without acknowledgements is
   * replaced after 2.5 s.
   *
   * @param listen address on which this VM listens
   * @return the settings
   */
  public static PeerNetworkSettings forDenseMesh(SocketEndpoint listen) {
    PeerNetworkSettings defaults = defaults(listen);
    return new PeerNetworkSettings(
        listen,
        defaults.sendBufferBytes(),
        defaults.totalSendBufferBytes(),
        defaults.receivedMessageCapacity(),
        defaults.totalReceivedBytes(),
        defaults.maximumIncomingConnections(),
        defaults.handshakeTimeout(),
        Duration.ofMillis(2_500),
        Duration.ofMillis(1_000),
        defaults.minimumBackoff(),
        defaults.maximumBackoff());
  }
}
