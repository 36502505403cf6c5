package org.kumquatvane.document;

/**
 * A field that differs between two documents.
 *
 * @param field name of the field in the document, including its unit
 * @param before earlier value, or {@code none}
 * @param after later value, or {@code none}
 */
public record FieldChange(String field, String before, String after) {
  /** Text for a field that is absent from one of the documents. */
  public static final String NONE = "none";

  @Override
  public String toString() {
    return field + ": " + before + " -> " + after;
  }
}
