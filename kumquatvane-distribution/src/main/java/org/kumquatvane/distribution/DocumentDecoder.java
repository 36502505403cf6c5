package org.kumquatvane.distribution;

import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import org.kumquatvane.document.Document;

/** Gives bytes to the parser. Called outside all locks. */
public interface DocumentDecoder {
  /**
   * Reads which fragments the main bytes name.
   *
   * @param main the main bytes
   * @return the fragments; empty if there are none or the bytes are invalid
   */
  List<DocumentFragment> fragments(byte[] main);

  /**
   * Parses and validates a document.
   *
   * @param main the main bytes
   * @param fragments gives the bytes of each named fragment
   * @return the document or why it is refused
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
     * The bytes are refused.
     *
     * @param detail place, fault and remedy
     */
    record Invalid(String detail) implements Result {}
  }
}
