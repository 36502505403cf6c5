package org.kumquatvane.document;

/** Learns of each document that comes into force. */
@FunctionalInterface
public interface DocumentListener {
  /**
   * Applies a document; called in order of generations, outside all locks.
   *
   * @param document the document now in force
   */
  void documentInForce(Document document);
}
