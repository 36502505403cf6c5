package org.kumquatvane.json;

import java.math.BigDecimal;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.function.Supplier;
import java.util.regex.Pattern;
import org.kumquatvane.core.EnumNames;
import org.kumquatvane.json.JsonValue.JsonArray;
import org.kumquatvane.json.JsonValue.JsonBoolean;
import org.kumquatvane.json.JsonValue.JsonNumber;
import org.kumquatvane.json.JsonValue.JsonObject;
import org.kumquatvane.json.JsonValue.JsonString;

/**
 * Reads the fields of one object by name and type.
 *
 * <p>Each method reports faults to the collector and then returns a placeholder, so that one pass
 * finds all faults; a caller discards its result if the collector is not empty. {@link
 * #reportUnknownFields} reports the fields that no method has read.
 */
public final class ObjectReader {
  private static final Pattern INTEGER = Pattern.compile("-?[0-9]{1,18}");

  private final String source;
  private final JsonPath path;
  private final SourceLocation location;
  private final boolean isObject;
  private final Map<String, JsonValue> fields = new LinkedHashMap<>();
  private final Set<String> knownFields = new LinkedHashSet<>();
  private final FaultCollector faults;

  private ObjectReader(String source, JsonPath path, JsonValue value, FaultCollector faults) {
    this.source = source;
    this.path = path;
    this.location = new SourceLocation(source, value.line(), value.column(), path);
    this.faults = faults;
    this.isObject = value instanceof JsonObject;
    if (value instanceof JsonObject object) {
      object.members().forEach(member -> fields.put(member.name(), member.value()));
    } else {
      reportWrongType(location, "an object", value);
    }
  }

  /**
   * Creates a reader of the root of an input.
   *
   * @param source name of the file or platform value
   * @param root the root
   * @param faults receives the faults found
   * @return the reader
   */
  public static ObjectReader forRoot(String source, JsonValue root, FaultCollector faults) {
    return new ObjectReader(source, JsonPath.ROOT, root, faults);
  }

  /**
   * Returns the location of the start of the object.
   *
   * @return the location
   */
  public SourceLocation location() {
    return location;
  }

  /**
   * Returns the location of a field's value, or that of the object if the field is absent.
   *
   * @param name name of the field
   * @return the location
   */
  public SourceLocation location(String name) {
    JsonValue value = fields.get(name);
    JsonPath fieldPath = path.member(name);
    return value == null
        ? new SourceLocation(source, location.line(), location.column(), fieldPath)
        : new SourceLocation(source, value.line(), value.column(), fieldPath);
  }

  /**
   * Returns whether a field is present, and marks it as known.
   *
   * @param name name of the field
   * @return true if it is present, whatever its type
   */
  public boolean has(String name) {
    knownFields.add(name);
    return fields.containsKey(name);
  }

  /**
   * Reports a fault at a field.
   *
   * @param name name of the field
   * @param problem what is wrong
   * @param remedy how to correct it
   */
  public void reportFault(String name, String problem, String remedy) {
    faults.add(location(name), problem, remedy);
  }

  /**
   * Reads a required string.
   *
   * @param name name of the field
   * @param format the accepted format
   * @return the string, or an empty string after a fault
   */
  public String readString(String name, StringFormat format) {
    return require(name, () -> "a string " + format.description())
        .map(value -> parseString(value, location(name), format))
        .orElse("");
  }

  /**
   * Reads an optional string.
   *
   * @param name name of the field
   * @param format the accepted format
   * @return the string, or empty if the field is absent or invalid
   */
  public Optional<String> readOptionalString(String name, StringFormat format) {
    return has(name)
        ? Optional.of(readString(name, format)).filter(t -> !t.isEmpty())
        : Optional.empty();
  }

  /**
   * Reads a required integer.
   *
   * @param name name of the field
   * @param minimum lowest accepted value
   * @param maximum highest accepted value
   * @return the number, or the minimum after a fault
   */
  public long readLong(String name, long minimum, long maximum) {
    return require(name, () -> "a whole number from " + minimum + " to " + maximum)
        .map(value -> parseLong(value, location(name), minimum, maximum))
        .orElse(minimum);
  }

  /**
   * Reads an optional integer.
   *
   * @param name name of the field
   * @param minimum lowest accepted value
   * @param maximum highest accepted value
   * @param fallback value if the field is absent
   * @return the number
   */
  public long readLong(String name, long minimum, long maximum, long fallback) {
    return has(name) ? readLong(name, minimum, maximum) : fallback;
  }

  /**
   * Reads a required number.
   *
   * @param name name of the field
   * @param minimum lowest accepted value
   * @param maximum highest accepted value
   * @return the number, or the minimum after a fault
   */
  public double readDouble(String name, double minimum, double maximum) {
    return require(
            name, () -> "a number from " + formatBound(minimum) + " to " + formatBound(maximum))
        .map(value -> parseDouble(value, location(name), minimum, maximum))
        .orElse(minimum);
  }

  /**
   * Reads an optional boolean.
   *
   * @param name name of the field
   * @param fallback value if the field is absent
   * @return the value
   */
  public boolean readBoolean(String name, boolean fallback) {
    knownFields.add(name);
    JsonValue value = fields.get(name);
    if (value == null) {
      return fallback;
    }
    if (value instanceof JsonBoolean truth) {
      return truth.value();
    }
    reportWrongType(location(name), "true or false", value);
    return fallback;
  }

  /**
   * Reads an optional enum constant, written in lower camel case.
   *
   * @param name name of the field
   * @param fallback value if the field is absent, or after a fault
   * @param <E> the enum type
   * @return the constant
   */
  public <E extends Enum<E>> E readEnum(String name, E fallback) {
    knownFields.add(name);
    JsonValue value = fields.get(name);
    if (value == null) {
      return fallback;
    }
    List<String> names = new ArrayList<>();
    for (E constant : fallback.getDeclaringClass().getEnumConstants()) {
      String constantName = EnumNames.lowerCamelCase(constant);
      if (value instanceof JsonString text && text.value().equals(constantName)) {
        return constant;
      }
      names.add(constantName);
    }
    String accepted = String.join(", ", names);
    if (value instanceof JsonString text) {
      reportFault(
          name, quote(text.value()) + " is not an accepted value", "use one of: " + accepted);
    } else {
      reportWrongType(location(name), "one of the strings " + accepted, value);
    }
    return fallback;
  }

  /**
   * Reads an optional object.
   *
   * @param name name of the field
   * @return a reader of its fields; it has none if the object is absent
   */
  public ObjectReader readObject(String name) {
    knownFields.add(name);
    JsonValue value = fields.get(name);
    JsonValue present =
        value == null ? new JsonObject(location.line(), location.column(), List.of()) : value;
    return new ObjectReader(source, path.member(name), present, faults);
  }

  /**
   * Reads a required object.
   *
   * @param name name of the field
   * @return a reader of its fields, or empty after a fault
   */
  public Optional<ObjectReader> readRequiredObject(String name) {
    return require(name, () -> "an object").map(value -> readObject(name));
  }

  /**
   * Reads an optional array of objects and reports the unknown fields of each.
   *
   * @param name name of the field
   * @param read reads one object
   * @param <T> type that an object is read into
   * @return the results, empty if the field is absent
   */
  public <T> List<T> readObjects(String name, Function<ObjectReader, T> read) {
    List<T> result = new ArrayList<>();
    int index = 0;
    for (JsonValue element : elements(name)) {
      ObjectReader reader =
          new ObjectReader(source, path.member(name).element(index++), element, faults);
      if (element instanceof JsonObject) {
        result.add(read.apply(reader));
        reader.reportUnknownFields();
      }
    }
    return result;
  }

  /**
   * Reads an optional array of strings. Invalid elements are reported and omitted.
   *
   * @param name name of the field
   * @param format the accepted format of an element
   * @return the strings with their locations
   */
  public List<Located<String>> readStrings(String name, StringFormat format) {
    List<Located<String>> result = new ArrayList<>();
    int index = 0;
    for (JsonValue element : elements(name)) {
      SourceLocation location =
          new SourceLocation(
              source, element.line(), element.column(), path.member(name).element(index++));
      String text = parseString(element, location, format);
      if (!text.isEmpty()) {
        result.add(new Located<>(text, location));
      }
    }
    return result;
  }

  /** Reports every field that no method of this reader has read. */
  public void reportUnknownFields() {
    for (String name : fields.keySet()) {
      if (!knownFields.contains(name)) {
        reportFault(
            name,
            "the field is unknown",
            "remove it or use one of: " + String.join(", ", knownFields));
      }
    }
  }

  private List<JsonValue> elements(String name) {
    knownFields.add(name);
    JsonValue value = fields.get(name);
    if (value == null) {
      return List.of();
    }
    if (value instanceof JsonArray array) {
      return array.elements();
    }
    reportWrongType(location(name), "an array", value);
    return List.of();
  }

  private Optional<JsonValue> require(String name, Supplier<String> expected) {
    knownFields.add(name);
    JsonValue value = fields.get(name);
    if (value == null && isObject) {
      reportFault(name, "the field is missing", "add it with " + expected.get());
    }
    return Optional.ofNullable(value);
  }

  private String parseString(JsonValue value, SourceLocation location, StringFormat format) {
    if (!(value instanceof JsonString text)) {
      reportWrongType(location, "a string " + format.description(), value);
      return "";
    }
    if (!format.matches(text.value())) {
      String shown = format.secret() ? "the value" : quote(text.value());
      faults.add(
          location,
          shown + " does not have the required format",
          "write a string " + format.description());
      return "";
    }
    return text.value();
  }

  private long parseLong(JsonValue value, SourceLocation location, long minimum, long maximum) {
    if (!(value instanceof JsonNumber number)) {
      reportWrongType(location, "a whole number", value);
      return minimum;
    }
    // The length is checked before conversion, so that 1e999999999 cannot exhaust memory.
    if (INTEGER.matcher(number.literal()).matches()) {
      long parsed = Long.parseLong(number.literal());
      if (parsed >= minimum && parsed <= maximum) {
        return parsed;
      }
    }
    reportOutOfRange(location, number, "a whole number from " + minimum + " to " + maximum);
    return minimum;
  }

  private double parseDouble(
      JsonValue value, SourceLocation location, double minimum, double maximum) {
    if (!(value instanceof JsonNumber number)) {
      reportWrongType(location, "a number", value);
      return minimum;
    }
    double parsed = Double.parseDouble(number.literal());
    if (parsed >= minimum && parsed <= maximum) {
      return parsed;
    }
    reportOutOfRange(
        location, number, "a number from " + formatBound(minimum) + " to " + formatBound(maximum));
    return minimum;
  }

  private static String formatBound(double bound) {
    return new BigDecimal(Double.toString(bound)).stripTrailingZeros().toPlainString();
  }

  private void reportOutOfRange(SourceLocation location, JsonNumber number, String expected) {
    faults.add(
        location, JsonPath.printable(number.literal()) + " is out of range", "write " + expected);
  }

  private void reportWrongType(SourceLocation location, String expected, JsonValue found) {
    faults.add(location, "found " + found.typeDescription(), "write " + expected);
  }

  private static String quote(String text) {
    return "\"" + JsonPath.printable(text) + "\"";
  }
}
