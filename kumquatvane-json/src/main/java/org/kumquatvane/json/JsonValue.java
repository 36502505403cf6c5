package org.kumquatvane.json;

import java.util.List;

/** A JSON value with its position in the input. */
public sealed interface JsonValue {
  /**
   * Returns the line.
   *
   * @return line from 1
   */
  int line();

  /**
   * Returns the column.
   *
   * @return column from 1
   */
  int column();

  /**
   * Returns the name of the value's type for messages.
   *
   * @return a noun with its article
   */
  String typeDescription();

  /**
   * An object.
   *
   * @param line line from 1
   * @param column column from 1
   * @param members members with unique names, in input order
   */
  record JsonObject(int line, int column, List<Member> members) implements JsonValue {
    @Override
    public String typeDescription() {
      return "an object";
    }
  }

  /**
   * A member of an object.
   *
   * @param name its name
   * @param value its value
   */
  record Member(String name, JsonValue value) {}

  /**
   * An array.
   *
   * @param line line from 1
   * @param column column from 1
   * @param elements elements in input order
   */
  record JsonArray(int line, int column, List<JsonValue> elements) implements JsonValue {
    @Override
    public String typeDescription() {
      return "an array";
    }
  }

  /**
   * A string.
   *
   * @param line line from 1
   * @param column column from 1
   * @param value the string without quotes and escapes
   */
  record JsonString(int line, int column, String value) implements JsonValue {
    @Override
    public String typeDescription() {
      return "a string";
    }
  }

  /**
   * A number, kept as written so that no digit is lost before its range is checked.
   *
   * @param line line from 1
   * @param column column from 1
   * @param literal the number as written
   */
  record JsonNumber(int line, int column, String literal) implements JsonValue {
    @Override
    public String typeDescription() {
      return "a number";
    }
  }

  /**
   * A boolean.
   *
   * @param line line from 1
   * @param column column from 1
   * @param value the value
   */
  record JsonBoolean(int line, int column, boolean value) implements JsonValue {
    @Override
    public String typeDescription() {
      return "a boolean";
    }
  }

  /**
   * The literal {@code null}, which no field accepts.
   *
   * @param line line from 1
   * @param column column from 1
   */
  record JsonNull(int line, int column) implements JsonValue {
    @Override
    public String typeDescription() {
      return "null";
    }
  }
}
