package org.kumquatvane.documents;

import java.util.List;
import org.kumquatvane.document.Document;
import org.kumquatvane.json.Fault;

/** Result of parsing a document. */
public sealed interface DocumentResult {
  /**
   * The input is a valid document.
   *
   * @param document the document
   */
  record Parsed(Document document) implements DocumentResult {}

  /**
   * The input is not a valid document.
   *
   * @param faults all faults, at least one
   */
  record Invalid(List<Fault> faults) implements DocumentResult {
    /** Copies the list. */
    public Invalid {
      faults = List.copyOf(faults);
    }
  }
}
