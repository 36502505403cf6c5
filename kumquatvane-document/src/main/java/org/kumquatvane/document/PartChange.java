package org.kumquatvane.document;

import java.util.List;

/**
 * A workspace, service, route or the fleet policy that differs between two documents.
 *
 * @param kind kind of change
 * @param part type of the changed part
 * @param name its name
 * @param fields the fields that differ; all fields if the part was added, none if it was removed
 */
public record PartChange(Kind kind, Part part, String name, List<FieldChange> fields) {
  /** Kind of change. */
  public enum Kind {
    /** Only the later document has it. */
    ADDED,
    /** Only the earlier document has it. */
    REMOVED,
    /** Both documents have it, with different fields. */
    CHANGED
  }

  /** Parts of a document. */
  public enum Part {
    /** The policy for all VMs. */
    FLEET,
    /** A workspace. */
    WORKSPACE,
    /** A service. */
    SERVICE,
    /** A route. */
    ROUTE
  }

  /** Copies the list. */
  public PartChange {
    fields = List.copyOf(fields);
  }
}
