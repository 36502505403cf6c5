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
   * The document is the one in force already.
   *
   * @param generation its generation
   */
  record Unchanged(long generation) implements Acceptance {}

  /**
   * The document's generation is lower than the one in force.
   *
   * @param offered its generation
   * @param inForce the higher generation
   */
  record Older(long offered, long inForce) implements Acceptance {}

  /**
   * The document has the generation in force but other bytes.
   *
   * @param generation the generation of both
   */
  record Conflicting(long generation) implements Acceptance {}
}
