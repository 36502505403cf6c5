package org.kumquatvane.json;

import java.util.regex.Pattern;

/**
 * Accepted format of a string.
 *
 * @param pattern matches the whole string; must not match an empty string or backtrack without
 *     bound
 * @param description the format in words, following "a string"
 * @param secret whether messages must not quote the value
 */
public record StringFormat(Pattern pattern, String description, boolean secret) {
  /** Names of workspaces, services, routes, VMs and failure domains. */
  public static final StringFormat NAME =
      of(
          "[A-Za-z0-9][A-Za-z0-9._-]{0,99}",
          "of 1 to 100 letters, digits, dots, hyphens or underscores, starting with a letter or"
              + " digit");

  /** SHA-256 digests in hexadecimal. */
  public static final StringFormat SHA256 =
      of("[0-9a-f]{64}", "of 64 lower-case hexadecimal digits, a SHA-256 digest");

  /**
   * Creates a format whose values messages may quote.
   *
   * @param pattern regular expression for the whole string
   * @param description the format in words, following "a string"
   * @return the format
   */
  public static StringFormat of(String pattern, String description) {
    return new StringFormat(Pattern.compile(pattern), description, false);
  }

  /**
   * Creates a format whose values messages never quote.
   *
   * @param pattern regular expression for the whole string
   * @param description the format in words, following "a string"
   * @return the format
   */
  public static StringFormat ofSecret(String pattern, String description) {
    return new StringFormat(Pattern.compile(pattern), description, true);
  }

  boolean matches(String text) {
    return pattern.matcher(text).matches();
  }
}
