package org.kumquatvane.distribution;

import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import org.kumquatvane.document.Document;

/** Decodes the bytes of documents. Called without any lock. */
public interface DocumentDecoder {
  /**
   * Returns the fragments that the main bytes reference.
   *
   * @param main the main bytes
   * @return the fragments; empty if there are none or the bytes are not valid
   */
  List<DocumentFragment> fragments(byte[] main);

  /**
   * Parses and validates a document.
   *
   * @param main the main bytes
   * @param fragments returns the bytes of a referenced fragment
   * @return the document, or the reason for its rejection
   */
  Result parse(byte[] main, Function<DocumentFragment, Optional<byte[]>> fragments);

  /** Outcome of parsing. */
  sealed interface Result {
    /**
     * The bytes are a valid document.
     *
     * @param document the document
     */
    record Valid(Document document) implements Result {}

    /**
     * The bytes are not a valid document.
     *
     * @param detail location, fault and remedy
     */
    record Invalid(String detail) implements Result {}
  }
}
