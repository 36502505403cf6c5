package org.kumquatvane.document;

import java.util.List;
import java.util.OptionalInt;
import org.kumquatvane.core.KeyDigest;
import org.kumquatvane.core.WorkspaceId;

/**
 * A workspace with its keys and its rate limit.
 *
 * @param id unique name
 * @param keyDigests digests of the keys that are granted
 * @param rate rate and burst across the whole fleet
 * @param priority priority that overrides the priority of the route, if present
 */
public record Workspace(
    WorkspaceId id, List<KeyDigest> keyDigests, RateLimit rate, OptionalInt priority) {
  /** Copies the list. */
  public Workspace {
    keyDigests = List.copyOf(keyDigests);
  }

  /**
   * Creates a workspace without a priority of its own.
   *
   * @param id unique name
   * @param keyDigests digests of the keys that are granted
   * @param rate rate and burst across the whole fleet
   */
  public Workspace(WorkspaceId id, List<KeyDigest> keyDigests, RateLimit rate) {
    this(id, keyDigests, rate, OptionalInt.empty());
  }
}
