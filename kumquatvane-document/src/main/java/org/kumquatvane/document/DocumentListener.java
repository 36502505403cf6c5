package org.kumquatvane.document;

/** Receives each document that comes into force. */
@FunctionalInterface
public interface DocumentListener {
  /**
   * Applies a document. Called in generation order, without any lock.
   *
   * @param document the document now in force
   */
  void documentInForce(Document document);
}
