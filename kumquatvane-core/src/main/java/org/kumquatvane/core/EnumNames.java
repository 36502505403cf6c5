package org.kumquatvane.core;

import java.util.Locale;

/** Written form of enumeration constants in documents, settings and reports. */
public final class EnumNames {
  private EnumNames() {}

  /**
   * Converts a constant's name to lower camel case, {@code TWO_CHOICES} to {@code twoChoices}.
   *
   * @param constant the constant
   * @return the name in the inputs
   */
  public static String lowerCamelCase(Enum<?> constant) {
    StringBuilder written = new StringBuilder();
    for (String word : constant.name().toLowerCase(Locale.ROOT).split("_")) {
      written.append(
          written.isEmpty() ? word : Character.toUpperCase(word.charAt(0)) + word.substring(1));
    }
    return written.toString();
  }
}
