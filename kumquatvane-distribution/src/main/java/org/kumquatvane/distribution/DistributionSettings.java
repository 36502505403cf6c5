package org.kumquatvane.distribution;

import java.time.Duration;

/**
 * Times and names of the distribution.
 *
 * @param valueName name of the platform value that holds the document
 * @param readersPerDomain VMs of each failure domain that read the platform
 * @param tickInterval how often roles and deadlines are checked
 * @param longestWatch how long the platform may hold a watch
 * @param shortestCallInterval least time between two calls of one watch; bounds the rate when two
 *     copies of the source answer with different versions in turn
 * @param partTimeout time for one part, after which the transfer is given up
 * @param peerWait time in which a starting VM waits for a document of its peers
 */
public record DistributionSettings(
    String valueName,
    int readersPerDomain,
    Duration tickInterval,
    Duration longestWatch,
    Duration shortestCallInterval,
    Duration partTimeout,
    Duration peerWait) {
  /**
   * Returns the defaults.
   *
   * @param valueName name of the platform value that holds the document
   * @param peerWait time in which a starting VM waits for its peers
   * @return the settings
   */
  public static DistributionSettings of(String valueName, Duration peerWait) {
    return new DistributionSettings(
        valueName,
        2,
        Duration.ofSeconds(1),
        Duration.ofSeconds(30),
        Duration.ofSeconds(1),
        Duration.ofSeconds(2),
        peerWait);
  }
}
