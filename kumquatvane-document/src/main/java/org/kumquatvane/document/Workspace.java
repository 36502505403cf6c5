package org.kumquatvane.document;

import java.util.List;
import org.kumquatvane.core.KeyDigest;
import org.kumquatvane.core.WorkspaceId;

/**
 * A workspace with its keys and its rate.
 *
 * @param id unique name
 * @param keyDigests digests of the keys that are granted
 * @param rate rate and burst across the whole fleet
 */
public record Workspace(WorkspaceId id, List<KeyDigest> keyDigests, RateLimit rate) {
  /** Copies the list. */
  public Workspace {
    keyDigests = List.copyOf(keyDigests);
  }
}
