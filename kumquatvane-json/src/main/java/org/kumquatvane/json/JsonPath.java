package org.kumquatvane.json;

import org.jspecify.annotations.Nullable;

/**
 * Path of a value below the root, such as {@code $.routes[2].service}; converted to text only for
 * messages.
 */
public final class JsonPath {
  /** Path of the root value. */
  public static final JsonPath ROOT = new JsonPath(null, "$", 0);

  private final @Nullable JsonPath parent;
  private final @Nullable String name;
  private final int index;

  private JsonPath(@Nullable JsonPath parent, @Nullable String name, int index) {
    this.parent = parent;
    this.name = name;
    this.index = index;
  }

  /**
   * Returns the path of a member.
   *
   * @param name name of the member
   * @return the path below this one
   */
  public JsonPath member(String name) {
    return new JsonPath(this, name, 0);
  }

  /**
   * Returns the path of an element.
   *
   * @param index index from 0
   * @return the path below this one
   */
  public JsonPath element(int index) {
    return new JsonPath(this, null, index);
  }

  @Override
  public String toString() {
    if (parent == null) {
      return "$";
    }
    return parent + (name == null ? "[" + index + "]" : "." + printable(name));
  }

  /** Truncates a text from the input to 60 characters and replaces control characters. */
  static String printable(String text) {
    return printable(text, 60);
  }

  /** Truncates a text to the given length and replaces control characters. */
  static String printable(String text, int maximum) {
    String shortened = text.length() > maximum ? text.substring(0, maximum - 3) + "..." : text;
    return shortened.replaceAll("[\\p{Cntrl}\\p{Cs}]", "?");
  }
}
