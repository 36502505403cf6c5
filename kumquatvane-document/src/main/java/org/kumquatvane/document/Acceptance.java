package org.kumquatvane.document;

/** Outcome of offering a document. */
public sealed interface Acceptance {
  /**
   * The document is in force.
   *
   * @param generation its generation
   */
  record Accepted(long generation) implements Acceptance {}

  /**
   * The document is already in force.
   *
   * @param generation its generation
   */
  record Unchanged(long generation) implements Acceptance {}

  /**
   * The document's generation is lower than the one in force.
   *
   * @param offered its generation
   * @param inForce generation of the document in force
   */
  record Older(long offered, long inForce) implements Acceptance {}

  /**
   * The document has the generation of the document in force but different content.
   *
   * @param generation generation of both documents
   */
  record Conflicting(long generation) implements Acceptance {}
}
