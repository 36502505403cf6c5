package org.kumquatvane.distribution.internal;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.kumquatvane.core.KeyDigest;
import org.kumquatvane.core.WorkspaceId;
import org.kumquatvane.document.Document;
import org.kumquatvane.document.Workspace;

/** Finds keys that a newer document no longer grants. */
public final class WithdrawnKeys {
  private WithdrawnKeys() {}

  /**
   * Compares two documents. The memory used grows with the keys of changed workspaces and not with
   * the total number of keys.
   *
   * @param earlier the earlier document
   * @param later the later one
   * @return digests that only the earlier document grants; keys moved to another workspace are not
   *     included
   */
  public static List<KeyDigest> between(Document earlier, Document later) {
    Map<WorkspaceId, List<KeyDigest>> removed = new HashMap<>();
    earlier.workspaces().forEach(workspace -> removed.put(workspace.id(), workspace.keyDigests()));
    Set<KeyDigest> granted = new HashSet<>();
    for (Workspace workspace : later.workspaces()) {
      if (workspace.keyDigests().equals(removed.get(workspace.id()))) {
        removed.remove(workspace.id());
      } else {
        granted.addAll(workspace.keyDigests());
      }
    }
    List<KeyDigest> withdrawn = new ArrayList<>();
    removed
        .values()
        .forEach(
            digests -> digests.stream().filter(d -> !granted.contains(d)).forEach(withdrawn::add));
    return withdrawn;
  }
}
