package org.kumquatvane.distribution;

import java.time.Duration;

/**
 * Times and names of the distribution.
 *
 * @param valueName name of the platform value that holds the document
 * @param readersPerDomain VMs of each failure domain that read the platform
 * @param tickInterval how often roles and deadlines are checked
 * @param maximumWatchTime how long the platform may hold a watch
 * @param minimumCallInterval least time between two calls of one watch; bounds the rate when two
 *     copies of the source answer with different versions in turn
 * @param partTimeout time for one part, after which the transfer is given up
 * @param peerWaitTimeout time in which a starting VM waits for a document of its peers
 */
public record DistributionSettings(
    String valueName,
    int readersPerDomain,
    Duration tickInterval,
    Duration maximumWatchTime,
    Duration minimumCallInterval,
    Duration partTimeout,
    Duration peerWaitTimeout) {
  /**
   * Returns the defaults.
   *
   * @param valueName name of the platform value that holds the document
   * @param peerWaitTimeout time in which a starting VM waits for its peers
   * @return the settings
   */
  public static DistributionSettings of(String valueName, Duration peerWaitTimeout) {
    return new DistributionSettings(
        valueName,
        2,
        Duration.ofSeconds(1),
        Duration.ofSeconds(30),
        Duration.ofSeconds(1),
        Duration.ofSeconds(2),
        peerWaitTimeout);
  }
}
