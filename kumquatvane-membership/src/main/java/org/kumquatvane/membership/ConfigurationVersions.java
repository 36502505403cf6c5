package org.kumquatvane.membership;

/**
 * Versions of the configuration that a VM has in force. They are part of each heartbeat, so that a
 * lost document offer is detected.
 *
 * @param generation generation of the document in force, 0 before the first one
 * @param withdrawalCount number of key withdrawals that the VM applies in addition to its document
 * @param vmListVersion version of the newest VM list, 0 before the first one
 */
public record ConfigurationVersions(long generation, int withdrawalCount, long vmListVersion) {
  /** Versions of a VM without a document. */
  public static final ConfigurationVersions NONE = new ConfigurationVersions(0, 0, 0);
}
