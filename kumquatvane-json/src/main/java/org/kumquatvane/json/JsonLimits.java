package org.kumquatvane.json;

/**
 * Limits of an input, checked while reading.
 *
 * @param maximumBytes maximum size of the input, in bytes
 * @param maximumDepth maximum nesting depth of objects and arrays
 * @param maximumStringLength maximum length of a string, in UTF-16 code units
 * @param maximumValues maximum number of values in a tree, each of which takes some 80 bytes
 */
public record JsonLimits(
    int maximumBytes, int maximumDepth, int maximumStringLength, int maximumValues) {
  /**
   * Limits of settings and documents: the platform's values hold up to one megabyte, valid inputs
   * nest at most five levels, and the longest string is a file path or an address.
   */
  public static final JsonLimits STANDARD = new JsonLimits(1_048_576, 16, 4_096, 1_048_576);
}
