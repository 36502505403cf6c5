package org.kumquatvane.keys;

import java.util.Optional;
import org.kumquatvane.core.KeyDigest;
import org.kumquatvane.core.WorkspaceId;

/** Maps API keys to workspaces. */
public interface KeyTable {
  /**
   * Looks up a key.
   *
   * @param digest digest of the presented key
   * @return the workspace, or empty if the key is unknown or withdrawn
   */
  Optional<WorkspaceId> find(KeyDigest digest);

  /**
   * Withdraws a key before the document that omits it arrives.
   *
   * @param digest digest of the key
   * @param generation generation of the document that omits the key; documents of lower generations
   *     do not grant it again
   */
  void withdraw(KeyDigest digest, long generation);
}
