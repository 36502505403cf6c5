package org.kumquatvane.json;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import org.kumquatvane.json.JsonValue.JsonArray;
import org.kumquatvane.json.JsonValue.JsonBoolean;
import org.kumquatvane.json.JsonValue.JsonNumber;
import org.kumquatvane.json.JsonValue.JsonObject;
import org.kumquatvane.json.JsonValue.JsonString;

/** Writes JSON values as UTF-8 without whitespace. */
public final class JsonWriter {
  private final JsonFactory factory = new JsonFactory();

  /**
   * Writes a value.
   *
   * @param value the value
   * @return its bytes
   */
  public byte[] write(JsonValue value) {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    try (JsonGenerator generator = factory.createGenerator(bytes)) {
      write(value, generator);
    } catch (IOException e) {
      throw new UncheckedIOException("writing to memory performs no I/O", e);
    }
    return bytes.toByteArray();
  }

  private static void write(JsonValue value, JsonGenerator generator) throws IOException {
    if (value instanceof JsonObject object) {
      generator.writeStartObject();
      for (JsonValue.Member member : object.members()) {
        generator.writeFieldName(member.name());
        write(member.value(), generator);
      }
      generator.writeEndObject();
    } else if (value instanceof JsonArray array) {
      generator.writeStartArray();
      for (JsonValue element : array.elements()) {
        write(element, generator);
      }
      generator.writeEndArray();
    } else if (value instanceof JsonString string) {
      generator.writeString(string.value());
    } else if (value instanceof JsonNumber number) {
      generator.writeNumber(number.literal());
    } else if (value instanceof JsonBoolean truth) {
      generator.writeBoolean(truth.value());
    } else {
      generator.writeNull();
    }
  }
}
