package org.kumquatvane.membership;

/**
 * What a VM has in force, sent with each heartbeat so that a lost offer is noticed.
 *
 * @param generation generation of the document in force, 0 before the first one
 * @param withdrawalCount number of key withdrawals that the VM knows ahead of its document
 * @param vmListVersion version of the newest VM list, 0 before the first one
 */
public record ConfigurationVersions(long generation, int withdrawalCount, long vmListVersion) {
  /** The mark of a VM without a document. */
  public static final ConfigurationVersions NONE = new ConfigurationVersions(0, 0, 0);
}
