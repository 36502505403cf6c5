package org.kumquatvane.core;

import java.util.Locale;

/** Converts enum constants to the names used in documents, settings and reports. */
public final class EnumNames {
  private EnumNames() {}

  /**
   * Converts a constant's name to lower camel case, {@code TWO_CHOICES} to {@code twoChoices}.
   *
   * @param constant the constant
   * @return the name in lower camel case
   */
  public static String lowerCamelCase(Enum<?> constant) {
    StringBuilder name = new StringBuilder();
    for (String word : constant.name().toLowerCase(Locale.ROOT).split("_")) {
      name.append(
          name.isEmpty() ? word : Character.toUpperCase(word.charAt(0)) + word.substring(1));
    }
    return name.toString();
  }
}
