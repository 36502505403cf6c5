package org.kumquatvane.json;

import org.jspecify.annotations.Nullable;

/** Path of a value below the root, such as {@code $.routes[2].service}; rendered only on demand. */
public final class JsonPath {
  /** Path of the outermost value. */
  public static final JsonPath ROOT = new JsonPath(null, "$");

  private final @Nullable JsonPath parent;
  private final String step;

  private JsonPath(@Nullable JsonPath parent, String step) {
    this.parent = parent;
    this.step = step;
  }

  /**
   * Returns the path of a member.
   *
   * @param name name of the member
   * @return the path below this one
   */
  public JsonPath member(String name) {
    return new JsonPath(this, "." + printable(name));
  }

  /**
   * Returns the path of an element.
   *
   * @param index index from 0
   * @return the path below this one
   */
  public JsonPath element(int index) {
    return new JsonPath(this, "[" + index + "]");
  }

  @Override
  public String toString() {
    return parent == null ? step : parent + step;
  }

  /** Limits the length of names from the input and replaces control characters. */
  static String printable(String text) {
    return printable(text, 60);
  }

  /** Limits the length to the given one and replaces control characters. */
  static String printable(String text, int maximum) {
    String shortened = text.length() > maximum ? text.substring(0, maximum - 3) + "..." : text;
    return shortened.replaceAll("[\\p{Cntrl}\\p{Cs}]", "?");
  }
}
