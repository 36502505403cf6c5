package org.kumquatvane.keys;

import java.util.Optional;
import org.kumquatvane.core.KeyDigest;
import org.kumquatvane.core.WorkspaceId;

/** Tells which workspace a key belongs to, at the moment of the question. */
public interface KeyTable {
  /**
   * Looks a key up.
   *
   * @param digest digest of the presented key
   * @return the workspace, or empty if the key is unknown or withdrawn
   */
  Optional<WorkspaceId> find(KeyDigest digest);

  /**
   * Withdraws a key ahead of the document that omits it.
   *
   * @param digest digest of the key
   * @param generation generation of the document that omits it; documents of lower generations do
   *     not grant the key again
   */
  void withdraw(KeyDigest digest, long generation);
}
