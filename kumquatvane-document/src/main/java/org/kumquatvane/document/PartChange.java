package org.kumquatvane.document;

import java.util.List;

/**
 * A workspace, service, route or the fleet policy that differs between two documents.
 *
 * @param kind what happened to it
 * @param part what it is
 * @param name its name
 * @param fields the fields that differ; all fields if the part was added, none if it was removed
 */
public record PartChange(Kind kind, Part part, String name, List<FieldChange> fields) {
  /** What happened to a part. */
  public enum Kind {
    /** Only the later document has it. */
    ADDED,
    /** Only the earlier document has it. */
    REMOVED,
    /** Both have it with other fields. */
    CHANGED
  }

  /** Parts of a document. */
  public enum Part {
    /** The policy that holds for all VMs. */
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
