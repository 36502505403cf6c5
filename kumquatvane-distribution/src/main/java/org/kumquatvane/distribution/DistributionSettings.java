package org.kumquatvane.distribution;

import java.time.Duration;

/**
 * Settings of the configuration distribution.
 *
 * @param valueName name of the platform value that holds the document
 * @param readersPerDomain number of VMs in each failure domain that read the platform
 * @param tickInterval interval at which the reader role and deadlines are checked
 * @param maximumWatchTime longest time that the platform holds a watch without a change
 * @param minimumCallInterval minimum time between two calls of one watch; bounds the call rate when
 *     two replicas of the source alternately return different versions
 * @param partTimeout time limit for one part, after which the transfer is cancelled
 * @param peerWaitTimeout longest time that a starting VM waits for a document from its peers before
 *     it reads the platform
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
   * @param peerWaitTimeout longest time that a starting VM waits for its peers
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
