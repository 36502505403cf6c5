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
import org.kumquatvane.json.JsonValue.JsonText;

/**
 * Reads the fields of one object by name and type.
 *
 * <p>Each method reports what is wrong to the collector and then returns a placeholder, so that one
 * pass finds all faults; a caller discards what it built if the collector is not empty. {@link
 * #finish} reports the fields that no method asked for.
 */
public final class ObjectReader {
  private static final Pattern WHOLE = Pattern.compile("-?[0-9]{1,18}");

  private final String source;
  private final JsonPath path;
  private final Place place;
  private final boolean usable;
  private final Map<String, JsonValue> fields = new LinkedHashMap<>();
  private final Set<String> known = new LinkedHashSet<>();
  private final FaultCollector faults;

  private ObjectReader(String source, JsonPath path, JsonValue value, FaultCollector faults) {
    this.source = source;
    this.path = path;
    this.place = new Place(source, value.line(), value.column(), path);
    this.faults = faults;
    this.usable = value instanceof JsonObject;
    if (value instanceof JsonObject object) {
      object.members().forEach(member -> fields.put(member.name(), member.value()));
    } else {
      wrongType(place, "an object", value);
    }
  }

  /**
   * Reads the root of an input.
   *
   * @param source name of the file or platform value
   * @param root the root
   * @param faults receives what is wrong
   * @return a reader of the root's fields
   */
  public static ObjectReader ofRoot(String source, JsonValue root, FaultCollector faults) {
    return new ObjectReader(source, JsonPath.ROOT, root, faults);
  }

  /**
   * Returns where the object starts.
   *
   * @return the place
   */
  public Place place() {
    return place;
  }

  /**
   * Returns where a field's value stands, or the object's place if the field is absent.
   *
   * @param name name of the field
   * @return the place
   */
  public Place place(String name) {
    JsonValue value = fields.get(name);
    JsonPath fieldPath = path.member(name);
    return value == null
        ? new Place(source, place.line(), place.column(), fieldPath)
        : new Place(source, value.line(), value.column(), fieldPath);
  }

  /**
   * Tells whether a field is present.
   *
   * @param name name of the field
   * @return true if it is present, with any type
   */
  public boolean has(String name) {
    known.add(name);
    return fields.containsKey(name);
  }

  /**
   * Reports a fault at a field.
   *
   * @param name name of the field
   * @param problem what is wrong
   * @param remedy what to do about it
   */
  public void fault(String name, String problem, String remedy) {
    faults.add(place(name), problem, remedy);
  }

  /**
   * Reads a required string.
   *
   * @param name name of the field
   * @param form the accepted form
   * @return the text, or an empty one after a fault
   */
  public String text(String name, TextForm form) {
    return require(name, () -> "a string " + form.description())
        .map(value -> textOf(value, place(name), form))
        .orElse("");
  }

  /**
   * Reads an optional string.
   *
   * @param name name of the field
   * @param form the accepted form
   * @return the text, or empty if the field is absent or wrong
   */
  public Optional<String> optionalText(String name, TextForm form) {
    return has(name) ? Optional.of(text(name, form)).filter(t -> !t.isEmpty()) : Optional.empty();
  }

  /**
   * Reads a required whole number.
   *
   * @param name name of the field
   * @param minimum lowest accepted value
   * @param maximum highest accepted value
   * @return the number, or the minimum after a fault
   */
  public long integer(String name, long minimum, long maximum) {
    return require(name, () -> "a whole number from " + minimum + " to " + maximum)
        .map(value -> integerOf(value, place(name), minimum, maximum))
        .orElse(minimum);
  }

  /**
   * Reads an optional whole number.
   *
   * @param name name of the field
   * @param minimum lowest accepted value
   * @param maximum highest accepted value
   * @param fallback value if the field is absent
   * @return the number
   */
  public long integer(String name, long minimum, long maximum, long fallback) {
    return has(name) ? integer(name, minimum, maximum) : fallback;
  }

  /**
   * Reads a required number.
   *
   * @param name name of the field
   * @param minimum lowest accepted value
   * @param maximum highest accepted value
   * @return the number, or the minimum after a fault
   */
  public double decimal(String name, double minimum, double maximum) {
    return require(name, () -> "a number from " + shown(minimum) + " to " + shown(maximum))
        .map(value -> decimalOf(value, place(name), minimum, maximum))
        .orElse(minimum);
  }

  /**
   * Reads an optional truth value.
   *
   * @param name name of the field
   * @param fallback value if the field is absent
   * @return the value
   */
  public boolean truth(String name, boolean fallback) {
    known.add(name);
    JsonValue value = fields.get(name);
    if (value == null) {
      return fallback;
    }
    if (value instanceof JsonBoolean truth) {
      return truth.value();
    }
    wrongType(place(name), "true or false", value);
    return fallback;
  }

  /**
   * Reads an optional choice from the constants of an enumeration, written in lower camel case.
   *
   * @param name name of the field
   * @param fallback value if the field is absent, or after a fault
   * @param <E> the enumeration
   * @return the constant
   */
  public <E extends Enum<E>> E choice(String name, E fallback) {
    known.add(name);
    JsonValue value = fields.get(name);
    if (value == null) {
      return fallback;
    }
    List<String> names = new ArrayList<>();
    for (E constant : fallback.getDeclaringClass().getEnumConstants()) {
      String written = EnumNames.lowerCamelCase(constant);
      if (value instanceof JsonText text && text.text().equals(written)) {
        return constant;
      }
      names.add(written);
    }
    String accepted = String.join(", ", names);
    if (value instanceof JsonText text) {
      fault(name, quote(text.text()) + " is not a choice", "use one of: " + accepted);
    } else {
      wrongType(place(name), "one of the strings " + accepted, value);
    }
    return fallback;
  }

  /**
   * Reads an optional object.
   *
   * @param name name of the field
   * @return a reader of its fields; without fields if the object is absent
   */
  public ObjectReader object(String name) {
    known.add(name);
    JsonValue value = fields.get(name);
    JsonValue present =
        value == null ? new JsonObject(place.line(), place.column(), List.of()) : value;
    return new ObjectReader(source, path.member(name), present, faults);
  }

  /**
   * Reads a required object.
   *
   * @param name name of the field
   * @return a reader of its fields, or empty after a fault
   */
  public Optional<ObjectReader> requiredObject(String name) {
    return require(name, () -> "an object").map(value -> object(name));
  }

  /**
   * Reads an optional array of objects and finishes each.
   *
   * @param name name of the field
   * @param read reads one object
   * @param <T> type that an object is read into
   * @return what was read, empty if the field is absent
   */
  public <T> List<T> objects(String name, Function<ObjectReader, T> read) {
    List<T> result = new ArrayList<>();
    int index = 0;
    for (JsonValue element : elements(name)) {
      ObjectReader reader =
          new ObjectReader(source, path.member(name).element(index++), element, faults);
      if (element instanceof JsonObject) {
        result.add(read.apply(reader));
        reader.finish();
      }
    }
    return result;
  }

  /**
   * Reads an optional array of strings. Elements that are wrong are reported and left out.
   *
   * @param name name of the field
   * @param form the accepted form of an element
   * @return the strings with their places
   */
  public List<Located<String>> texts(String name, TextForm form) {
    List<Located<String>> result = new ArrayList<>();
    int index = 0;
    for (JsonValue element : elements(name)) {
      Place where =
          new Place(source, element.line(), element.column(), path.member(name).element(index++));
      String text = textOf(element, where, form);
      if (!text.isEmpty()) {
        result.add(new Located<>(text, where));
      }
    }
    return result;
  }

  /** Reports every field that was not asked for. */
  public void finish() {
    for (String name : fields.keySet()) {
      if (!known.contains(name)) {
        fault(name, "the field is unknown", "remove it or use one of: " + String.join(", ", known));
      }
    }
  }

  private List<JsonValue> elements(String name) {
    known.add(name);
    JsonValue value = fields.get(name);
    if (value == null) {
      return List.of();
    }
    if (value instanceof JsonArray array) {
      return array.elements();
    }
    wrongType(place(name), "an array", value);
    return List.of();
  }

  private Optional<JsonValue> require(String name, Supplier<String> expected) {
    known.add(name);
    JsonValue value = fields.get(name);
    if (value == null && usable) {
      fault(name, "the field is missing", "add it with " + expected.get());
    }
    return Optional.ofNullable(value);
  }

  private String textOf(JsonValue value, Place where, TextForm form) {
    if (!(value instanceof JsonText text)) {
      wrongType(where, "a string " + form.description(), value);
      return "";
    }
    if (!form.matches(text.text())) {
      String shown = form.secret() ? "the value" : quote(text.text());
      faults.add(where, shown + " has a wrong form", "write a string " + form.description());
      return "";
    }
    return text.text();
  }

  private long integerOf(JsonValue value, Place where, long minimum, long maximum) {
    if (!(value instanceof JsonNumber number)) {
      wrongType(where, "a whole number", value);
      return minimum;
    }
    // The length is checked before conversion, so that 1e999999999 costs nothing.
    if (WHOLE.matcher(number.literal()).matches()) {
      long parsed = Long.parseLong(number.literal());
      if (parsed >= minimum && parsed <= maximum) {
        return parsed;
      }
    }
    outOfRange(where, number, "a whole number from " + minimum + " to " + maximum);
    return minimum;
  }

  private double decimalOf(JsonValue value, Place where, double minimum, double maximum) {
    if (!(value instanceof JsonNumber number)) {
      wrongType(where, "a number", value);
      return minimum;
    }
    double parsed = Double.parseDouble(number.literal());
    if (parsed >= minimum && parsed <= maximum) {
      return parsed;
    }
    outOfRange(where, number, "a number from " + shown(minimum) + " to " + shown(maximum));
    return minimum;
  }

  private static String shown(double bound) {
    return new BigDecimal(Double.toString(bound)).stripTrailingZeros().toPlainString();
  }

  private void outOfRange(Place where, JsonNumber number, String expected) {
    faults.add(
        where, JsonPath.printable(number.literal()) + " is out of range", "write " + expected);
  }

  private void wrongType(Place where, String expected, JsonValue found) {
    faults.add(where, "found " + found.kind(), "write " + expected);
  }

  private static String quote(String text) {
    return "\"" + JsonPath.printable(text) + "\"";
  }
}
