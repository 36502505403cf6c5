package org.kumquatvane.peering.codec;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

/**
 * Reads the fields of a MessagePack map. Declared lengths are checked against the remaining bytes
 * before memory is allocated, so allocations are bounded by the frame size.
 */
public final class FieldReader {
  private final MessageUnpacker unpacker;
  private final long totalBytes;
  private int remainingFields;

  /**
   * Creates a reader of an encoded map.
   *
   * @param map the encoded map
   * @throws IOException if the bytes do not start with a map
   */
  public FieldReader(byte[] map) throws IOException {
    this(MessagePack.newDefaultUnpacker(map), map.length);
  }

  private FieldReader(MessageUnpacker unpacker, long totalBytes) throws IOException {
    this.unpacker = unpacker;
    this.totalBytes = totalBytes;
    this.remainingFields = unpacker.unpackMapHeader();
  }

  /**
   * Advances to the next field, whose value must then be read or skipped.
   *
   * @return number of the field, or -1 after the last field
   * @throws IOException if the number is not an integer or negative
   */
  public int nextField() throws IOException {
    if (remainingFields <= 0) {
      return -1;
    }
    remainingFields--;
    int field = unpacker.unpackInt();
    if (field < 0) {
      throw new MalformedMessageException("negative field number " + field);
    }
    return field;
  }

  /**
   * Skips the value of a field that this version does not support.
   *
   * @throws IOException if the value is truncated
   */
  public void skipValue() throws IOException {
    unpacker.skipValue();
  }

  /**
   * Reads a 64-bit integer.
   *
   * @return the value
   * @throws IOException if the value has another type
   */
  public long readLong() throws IOException {
    return unpacker.unpackLong();
  }

  /**
   * Reads a 32-bit integer.
   *
   * @return the value
   * @throws IOException if the value has another type or is out of range
   */
  public int readInt() throws IOException {
    return unpacker.unpackInt();
  }

  /**
   * Reads a boolean.
   *
   * @return the value
   * @throws IOException if the value has another type
   */
  public boolean readBoolean() throws IOException {
    return unpacker.unpackBoolean();
  }

  /**
   * Reads a floating-point number.
   *
   * @return the value
   * @throws IOException if the value has another type
   */
  public double readDouble() throws IOException {
    return unpacker.unpackDouble();
  }

  /**
   * Reads a string.
   *
   * @return the value
   * @throws IOException if the value has another type or is truncated
   */
  public String readString() throws IOException {
    return new String(
        unpacker.readPayload(checkLength(unpacker.unpackRawStringHeader())),
        StandardCharsets.UTF_8);
  }

  /**
   * Reads a byte array.
   *
   * @return the value
   * @throws IOException if the value has another type or is truncated
   */
  public byte[] readBytes() throws IOException {
    return unpacker.readPayload(checkLength(unpacker.unpackBinaryHeader()));
  }

  /**
   * Reads a list of strings.
   *
   * @return the values
   * @throws IOException if the value has another type or is truncated
   */
  public List<String> readStrings() throws IOException {
    int count = checkLength(unpacker.unpackArrayHeader());
    List<String> values = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      values.add(readString());
    }
    return values;
  }

  /**
   * Reads a list of maps.
   *
   * @param reader reads all fields of one element
   * @param <T> type of the elements
   * @return the values
   * @throws IOException if the value has another type or is truncated
   */
  public <T> List<T> readList(ElementReader<T> reader) throws IOException {
    int count = checkLength(unpacker.unpackArrayHeader());
    List<T> values = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      values.add(readMap(reader));
    }
    return values;
  }

  /**
   * Reads a map.
   *
   * @param reader reads its fields
   * @param <T> type of the value
   * @return the value
   * @throws IOException if the value has another type or is truncated
   */
  public <T> T readMap(ElementReader<T> reader) throws IOException {
    return reader.read(new FieldReader(unpacker, totalBytes));
  }

  /**
   * Returns the value of a required field.
   *
   * @param field number of the field
   * @param value its value, null if the field was absent
   * @param <T> type of the value
   * @return the value
   * @throws MalformedMessageException if the field was absent
   */
  public static <T> T required(int field, @Nullable T value) throws MalformedMessageException {
    if (value == null) {
      throw new MalformedMessageException("field " + field + " is missing");
    }
    return value;
  }

  private int checkLength(int length) throws MalformedMessageException {
    long remaining = totalBytes - unpacker.getTotalReadBytes();
    if (length < 0 || length > remaining) {
      throw new MalformedMessageException(
          "length " + length + " exceeds the remaining " + remaining + " bytes");
    }
    return length;
  }

  /**
   * Reads one element of a list, or a nested map.
   *
   * @param <T> type of the element
   */
  @FunctionalInterface
  public interface ElementReader<T> {
    /**
     * Reads the fields.
     *
     * @param fields the fields of the element
     * @return the element
     * @throws IOException if a field is malformed
     */
    T read(FieldReader fields) throws IOException;
  }
}
