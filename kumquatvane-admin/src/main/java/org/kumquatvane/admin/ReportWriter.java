package org.kumquatvane.admin;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.util.Collection;

/** Helpers for writing reports. */
final class ReportWriter {
  private ReportWriter() {}

  /** Writes one element of an array. */
  interface ElementWriter<T> {
    void write(JsonGenerator json, T element) throws IOException;
  }

  static <T> void writeObjects(
      JsonGenerator json, String field, Collection<T> elements, ElementWriter<T> writer)
      throws IOException {
    json.writeArrayFieldStart(field);
    for (T element : elements) {
      json.writeStartObject();
      writer.write(json, element);
      json.writeEndObject();
    }
    json.writeEndArray();
  }
}
