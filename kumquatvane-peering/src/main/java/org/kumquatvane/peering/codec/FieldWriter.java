package org.kumquatvane.peering.codec;

import java.io.IOException;
import java.util.Collection;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;

/** Writes the fields of a MessagePack map. */
public final class FieldWriter {
  private final MessageBufferPacker body = MessagePack.newDefaultBufferPacker();
  private int fieldCount;

  /**
   * Writes a 64-bit integer.
   *
   * @param field number of the field
   * @param value its value
   * @throws IOException if the packer fails
   */
  public void writeLong(int field, long value) throws IOException {
    writeFieldNumber(field);
    body.packLong(value);
  }

  /**
   * Writes a boolean.
   *
   * @param field number of the field
   * @param value its value
   * @throws IOException if the packer fails
   */
  public void writeBoolean(int field, boolean value) throws IOException {
    writeFieldNumber(field);
    body.packBoolean(value);
  }

  /**
   * Writes a floating-point number.
   *
   * @param field number of the field
   * @param value its value
   * @throws IOException if the packer fails
   */
  public void writeDouble(int field, double value) throws IOException {
    writeFieldNumber(field);
    body.packDouble(value);
  }

  /**
   * Writes a string.
   *
   * @param field number of the field
   * @param value its value
   * @throws IOException if the packer fails
   */
  public void writeString(int field, String value) throws IOException {
    writeFieldNumber(field);
    body.packString(value);
  }

  /**
   * Writes a byte array.
   *
   * @param field number of the field
   * @param value its value
   * @throws IOException if the packer fails
   */
  public void writeBytes(int field, byte[] value) throws IOException {
    writeFieldNumber(field);
    body.packBinaryHeader(value.length);
    body.writePayload(value);
  }

  /**
   * Writes a list of strings.
   *
   * @param field number of the field
   * @param values the strings
   * @throws IOException if the packer fails
   */
  public void writeStrings(int field, Collection<String> values) throws IOException {
    writeFieldNumber(field);
    body.packArrayHeader(values.size());
    for (String value : values) {
      body.packString(value);
    }
  }

  /**
   * Writes a list of maps.
   *
   * @param field number of the field
   * @param values the values
   * @param writer writes the fields of one value
   * @param <T> type of the values
   * @throws IOException if the packer fails
   */
  public <T> void writeList(int field, Collection<T> values, ElementWriter<T> writer)
      throws IOException {
    writeFieldNumber(field);
    body.packArrayHeader(values.size());
    for (T value : values) {
      FieldWriter element = new FieldWriter();
      writer.write(value, element);
      body.writePayload(element.toByteArray());
    }
  }

  /**
   * Writes a map.
   *
   * @param field number of the field
   * @param value the value
   * @param writer writes its fields
   * @param <T> type of the value
   * @throws IOException if the packer fails
   */
  public <T> void writeMap(int field, T value, ElementWriter<T> writer) throws IOException {
    writeFieldNumber(field);
    FieldWriter element = new FieldWriter();
    writer.write(value, element);
    body.writePayload(element.toByteArray());
  }

  /**
   * Encodes the map with the fields written so far.
   *
   * @return the encoded map
   * @throws IOException if the packer fails
   */
  public byte[] toByteArray() throws IOException {
    try (MessageBufferPacker map = MessagePack.newDefaultBufferPacker()) {
      map.packMapHeader(fieldCount);
      map.writePayload(body.toByteArray());
      return map.toByteArray();
    }
  }

  private void writeFieldNumber(int field) throws IOException {
    fieldCount++;
    body.packInt(field);
  }

  /**
   * Writes one element of a list, or a nested map.
   *
   * @param <T> type of the element
   */
  @FunctionalInterface
  public interface ElementWriter<T> {
    /**
     * Writes the fields.
     *
     * @param value the element
     * @param fields receives its fields
     * @throws IOException if the packer fails
     */
    void write(T value, FieldWriter fields) throws IOException;
  }
}
