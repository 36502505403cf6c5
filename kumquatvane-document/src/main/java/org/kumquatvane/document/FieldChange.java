package org.kumquatvane.document;

/**
 * A field that differs between two documents.
 *
 * @param field name in the document's bytes, with its unit
 * @param before earlier value, or {@code none}
 * @param after later value, or {@code none}
 */
public record FieldChange(String field, String before, String after) {
  /** Stands for a value that one of the documents does not have. */
  public static final String NONE = "none";

  @Override
  public String toString() {
    return field + ": " + before + " -> " + after;
  }
}
